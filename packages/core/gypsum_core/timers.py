"""What the timers of a home are for."""

PART = "home"
POLL = "poll"
ROUND = "round"
DEADLINE = "deadline"
CATCH_UP = "catch_up"
