"""What callers and operators see, with real processes on loopback."""
