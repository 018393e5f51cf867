"""Demonstration of a small fleet on loopback, with callers."""
