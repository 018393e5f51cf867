"""Adapters: encodings and input/output around the decisions."""
