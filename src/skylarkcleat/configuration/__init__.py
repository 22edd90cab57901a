"""The configuration that operators replace as a whole, version by version."""
