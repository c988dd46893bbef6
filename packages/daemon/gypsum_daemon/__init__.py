"""gypsumhitchd: the shell around the decision logic."""
