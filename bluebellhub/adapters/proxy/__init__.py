"""Passes requests to upstreams and answers back, byte for byte.

It stands on h11 and trio streams, since the rules on framing and cut answers
need both ends of a connection.
"""
