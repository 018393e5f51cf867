"""Benchmarks in virtual time, and measurements of processor and memory use."""
