"""Upstreams of a group: membership, connections, and the groups held by this daemon."""
