"""Runs the node with ``python -m bamboonotch_node``."""

from bamboonotch_node.early_signals import hold_reload

hold_reload()

from bamboonotch_node.main import main  # noqa: E402

main(prog_name="bamboonotch-node")
