"""Sub-package outcomes of the decision core."""
