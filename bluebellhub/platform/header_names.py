"""Names of headers, in lower case as HTTP libraries provide them."""

from typing import Final

__all__ = [
    'CLIENT_ACCOUNT',
    'DEADLINE_MS',
    'EXPECT_UPSTREAM',
    'HOP_BY_HOP',
    'LAST_EVENT_ID',
    'LEAVING',
    'NOT_EXECUTED',
    'PROMPT_PARTS',
    'RATE_LIMIT',
    'REJECTION_LIMIT',
    'REQUEST_ID',
    'RESPONSE_SIGNATURE',
    'RESTRICTED',
    'RETRY_AFTER',
    'SERVER_LOAD',
    'TOKEN_COUNTS',
]

REQUEST_ID: Final = b'x-bluebellhub-request-id'
# The remaining time when the header is written, not a point in time.
DEADLINE_MS: Final = b'x-bluebellhub-deadline-ms'
# Prompt tokens and the maximum of output tokens, separated by a comma.
TOKEN_COUNTS: Final = b'x-bluebellhub-token-counts'
# Parts of the prompt in order, as comma-separated pairs ID:TOKENS. The last one
# belongs to the request itself or to its session.
PROMPT_PARTS: Final = b'x-bluebellhub-prompt-prefix'
CLIENT_ACCOUNT: Final = b'x-bluebellhub-tenant'
EXPECT_UPSTREAM: Final = b'x-bluebellhub-expect-instance'
# Shows that the upstream sent the response; contains no key of bluebellhub.
RESPONSE_SIGNATURE: Final = b'x-bluebellhub-response-signature'
NOT_EXECUTED: Final = b'x-bluebellhub-not-executed'
SERVER_LOAD: Final = b'x-bluebellhub-server-load'
# The requests per second that the upstream takes from all VMs together.
RATE_LIMIT: Final = b'server-limit'
# The requests per second that the upstream may reject before it fails.
REJECTION_LIMIT: Final = b'server-brittle'
LEAVING: Final = b'server-leaving'
# With status 503: for how long the upstream wants nothing from this VM.
RETRY_AFTER: Final = b'retry-after'
LAST_EVENT_ID: Final = b'last-event-id'

# Headers that apply to a single connection only.
HOP_BY_HOP: Final = frozenset(
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
RESTRICTED: Final = frozenset(
    (
        b'authorization',
        b'kv-fetch',
        b'kv-from',
        DEADLINE_MS,
        EXPECT_UPSTREAM,
        CLIENT_ACCOUNT,
        b'x-bluebellhub-expect-version',
        b'x-bluebellhub-hold',
        b'x-bluebellhub-kv-backup',
        b'x-bluebellhub-pin-ms',
    )
)
