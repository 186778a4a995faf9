"""The operators' command; its documentation is ``docs/operators-command.md``."""
