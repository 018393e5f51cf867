"""Names of headers, in lower case as HTTP libraries give them."""

from typing import Final

__all__ = [
    'ANSWER_PROOF',
    'CONNECTION_ONLY',
    'DEADLINE_MS',
    'EXPECT_UPSTREAM',
    'LAST_EVENT_ID',
    'LOAD',
    'REQUEST_ID',
    'SET_HERE',
    'TENANT',
    'TOKEN_COUNTS',
    'UNRUN',
]

PREFIX: Final = b'x-bluebellhub-'

REQUEST_ID: Final = PREFIX + b'request-id'
# The time that is left when the header is written, not a moment.
DEADLINE_MS: Final = PREFIX + b'deadline-ms'
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNTS: Final = PREFIX + b'token-counts'
TENANT: Final = PREFIX + b'tenant'
EXPECT_UPSTREAM: Final = PREFIX + b'expect-instance'
# A proof that the answer is the upstream's; carries no key of ours.
ANSWER_PROOF: Final = PREFIX + b'response-signature'
UNRUN: Final = PREFIX + b'not-executed'
LOAD: Final = PREFIX + b'server-load'
LAST_EVENT_ID: Final = b'last-event-id'

# Headers that concern one connection only.
CONNECTION_ONLY: Final = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
    b'content-length',
    b'expect',
))

# Headers that a caller may not set for the upstream.
SET_HERE: Final = frozenset((
    b'authorization',
    b'kv-fetch',
    b'kv-from',
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    TENANT,
    PREFIX + b'expect-version',
    PREFIX + b'hold',
    PREFIX + b'kv-backup',
    PREFIX + b'pin-ms',
))
