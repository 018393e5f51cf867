"""Version moves: shares, evidence, steps and taking back."""
