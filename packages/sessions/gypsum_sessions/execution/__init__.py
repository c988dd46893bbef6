"""Execution of statements at upstreams: reads, writes, transactions, commit checks."""
