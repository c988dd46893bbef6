"""Upstreams of a group: who they are, connections to them, the groups held here."""
