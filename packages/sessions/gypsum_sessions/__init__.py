"""Statement sessions: callers that send statements over a persistent connection."""
