"""The demonstration: a small fleet on loopback and its callers."""
