"""The operators' command-line tool ``bluebellhub``."""
