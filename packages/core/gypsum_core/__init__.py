"""Decision logic of gypsumhitch: typed events in, typed actions out, no I/O."""
