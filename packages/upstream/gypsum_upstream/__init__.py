"""Connections to upstreams, and the verbs of their database groups."""
