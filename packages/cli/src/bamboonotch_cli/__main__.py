"""Runs the command with ``python -m bamboonotch_cli``."""

from bamboonotch_cli.main import main

if __name__ == "__main__":
    main()
