"""Pure decision code of bamboonotch."""
