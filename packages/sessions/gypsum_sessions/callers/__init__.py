"""Callers' sessions: their messages, values, transactions, and how they end."""
