"""Validated models of external input: settings and manifests."""
