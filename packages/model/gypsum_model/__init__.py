"""Validated models at the border: settings, manifests, what people write."""
