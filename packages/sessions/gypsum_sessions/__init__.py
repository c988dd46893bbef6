"""Statement sessions: callers that speak statements over a kept connection."""
