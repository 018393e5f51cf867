"""The users' platform: its names, formats and calls.

Nothing here decides.  What arrives is decoded into the product's own types,
and nothing outside this package knows the platform's names.
"""
