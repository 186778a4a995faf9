"""Sub-package membership of the decision core."""
