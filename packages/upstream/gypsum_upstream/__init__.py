"""Connections to upstreams, and the commands of their database groups."""
