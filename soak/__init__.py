"""Soak test: real daemon processes under injected faults, with guarantees checked."""
