"""Stand-ins of the second review: store, platform, upstreams, clients, daemons."""
