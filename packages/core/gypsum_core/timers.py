"""Purposes of a home's timers."""

PART = "home"
POLL = "poll"
ROUND = "round"
DEADLINE = "deadline"
CATCH_UP = "catch_up"
