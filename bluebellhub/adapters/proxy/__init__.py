"""HTTP/1.1 reverse proxy that forwards requests and responses byte for byte.

It is built on h11 and trio streams, because the rules on framing and on
truncated responses need control over both ends of a connection.
"""
