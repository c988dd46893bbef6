"""Daemon registry, links between daemons, remote statements and store feeds."""
