"""Decisions under load and faults: who holds connections, where work goes, who leads.

Nothing here waits, sends or reads a clock: times and views are handed in. Each module
names the load pattern that it answers and why its limits are what they are.
"""
