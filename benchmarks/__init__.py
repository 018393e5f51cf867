"""Benchmarks in virtual time and cost measurements."""
