"""Stand-ins of the platform, the backends and the clients, for the cases of this review."""
