"""Stand-ins, demo and measurement tools."""
