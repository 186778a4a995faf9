"""Runs the node with ``python -m bamboonotch_node``."""

from bamboonotch_node.main import main

main(prog_name="bamboonotch-node")
