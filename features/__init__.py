"""Features for callers and operators, run on real processes on loopback."""
