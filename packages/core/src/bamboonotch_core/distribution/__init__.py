"""Sub-package distribution of the decision core."""
