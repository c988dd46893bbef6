"""gypsumhitch: the operator's command."""
