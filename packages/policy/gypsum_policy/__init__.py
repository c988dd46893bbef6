"""Decisions about connections, routing, load shedding and leadership.

Pure functions and small state objects: nothing here waits, does I/O or reads a clock;
callers pass times and views in. Each module's docstring names the load pattern that it
handles and the reasons for its limits.
"""
