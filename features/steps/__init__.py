"""Step definitions of the features."""
