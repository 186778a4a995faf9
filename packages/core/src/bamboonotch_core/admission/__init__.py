"""Sub-package admission of the decision core."""
