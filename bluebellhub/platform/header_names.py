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

REQUEST_ID: Final = b'x-bluebellhub-request-id'
# The time that is left when the header is written, not a moment.
DEADLINE_MS: Final = b'x-bluebellhub-deadline-ms'
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNTS: Final = b'x-bluebellhub-token-counts'
TENANT: Final = b'x-bluebellhub-tenant'
EXPECT_UPSTREAM: Final = b'x-bluebellhub-expect-instance'
# A proof that the answer is the upstream's; carries no key of ours.
ANSWER_PROOF: Final = b'x-bluebellhub-response-signature'
UNRUN: Final = b'x-bluebellhub-not-executed'
LOAD: Final = b'x-bluebellhub-server-load'
LAST_EVENT_ID: Final = b'last-event-id'

# Headers that concern one connection only.
CONNECTION_ONLY: Final = frozenset(
    (
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
    )
)

# Headers that a caller may not set for the upstream.
SET_HERE: Final = frozenset(
    (
        b'authorization',
        b'kv-fetch',
        b'kv-from',
        DEADLINE_MS,
        EXPECT_UPSTREAM,
        TENANT,
        b'x-bluebellhub-expect-version',
        b'x-bluebellhub-hold',
        b'x-bluebellhub-kv-backup',
        b'x-bluebellhub-pin-ms',
    )
)
