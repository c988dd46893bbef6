"""gypsumhitchd: the process that runs the decision logic."""
