"""Stand-ins for the platform, servers and clients of the review's scripts."""
