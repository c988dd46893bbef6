"""Links between daemons."""
