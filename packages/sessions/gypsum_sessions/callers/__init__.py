"""Caller sessions: connections, statements, transactions and graceful drain."""
