"""Stand-ins of the platform, the backends and the clients, after the users' pages."""
