"""The protocol of the users' platform: header names, formats and API calls.

This package makes no decisions.  It decodes input into bluebellhub's own
types, and nothing outside it knows the platform's names.
"""
