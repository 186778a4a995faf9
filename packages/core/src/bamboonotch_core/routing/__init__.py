"""Sub-package routing of the decision core."""
