"""The root of the exception hierarchy, and errors shared by all packages.

All exceptions that bluebellhub raises derive from `HubError`.  A package
defines its own next to the rules that raise them.
"""

from collections.abc import Iterable

__all__ = [
    'CloudBusyError',
    'CloudError',
    'CloudUnavailableError',
    'ConflictError',
    'DuplicateEntryError',
    'HubError',
    'InvariantError',
    'ObjectError',
    'ObjectFieldError',
    'PeerMessageError',
    'SettingsError',
    'StaleTokenError',
    'StoreError',
    'StoredConflictError',
    'StoreUnavailableError',
    'UnknownEntryError',
    'WithheldCallError',
]


class HubError(Exception):
    """Base of all errors raised by bluebellhub."""


class DuplicateEntryError(HubError):
    """A name was registered twice in one registry."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'{kind} {name!r} is already registered')


class UnknownEntryError(HubError):
    """A name is not registered."""

    def __init__(self, kind: str, got: str, expected: Iterable[str]) -> None:
        known = ', '.join(expected)
        super().__init__(f'got {kind} {got!r}, expected one of: {known}')
        self.got = got


class InvariantError(HubError):
    """An invariant of the system is violated; the message names it."""

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f'invariant {invariant} violated: {detail}')
        self.invariant = invariant


class SettingsError(HubError):
    """A settings file is missing, or one of its fields is not valid."""

    def __init__(self, field: str, got: object, expected: str) -> None:
        super().__init__(f'{field}: got {got!r}, expected {expected}')
        self.field = field


class ObjectError(HubError):
    """An object of the configuration is not valid."""

    def __init__(self, kind: str, name: str, reason: str) -> None:
        super().__init__(f'{kind} {name!r}: {reason}')
        self.reason = reason


class ObjectFieldError(ObjectError):
    """A field of an object is not valid and counts as left out."""

    def __init__(
        self, kind: str, name: str, field: str, got: object, expected: str
    ) -> None:
        super().__init__(kind, name, f'{field}: got {got!r}, {expected}')
        self.field = field


class PeerMessageError(HubError):
    """A message from another VM cannot be decoded or has an unknown kind."""


class StoreError(HubError):
    """Base of the errors of the platform's object API."""


class StoreUnavailableError(StoreError):
    """The object API did not respond; the call may have taken effect."""

    def __init__(self, call: str, cause: str) -> None:
        super().__init__(f'{call}: no answer from the object API ({cause})')


class ConflictError(StoreError):
    """A conditional update found a newer version of the object."""

    def __init__(self, name: str, expected: int, found: int) -> None:
        super().__init__(
            f'{name}: update expected version {expected}, '
            f'the object is at version {found}'
        )
        self.found = found


class StoredConflictError(ConflictError):
    """A conditional update found another revision of an object.

    ``content`` is the response, which may hold the object as found, and ``era``
    the era of the store that it states.
    """

    def __init__(self, kind: str, content: bytes, era: int | None) -> None:
        super().__init__(kind, 0, 1)
        self.content = content
        self.era = era


class CloudError(HubError):
    """Base of the errors of the platform's API for orders."""


class CloudUnavailableError(CloudError):
    """The API did not respond; the call may be executed, also later."""

    def __init__(self, call: str, cause: str) -> None:
        super().__init__(f'{call}: no response from the cloud API ({cause})')


class StaleTokenError(CloudError):
    """The API has seen a higher token than that of the call."""

    def __init__(self, call: str, token: int) -> None:
        super().__init__(f'{call}: token {token} is lower than one seen')


class CloudBusyError(CloudError):
    """The API gets more calls than it takes."""

    def __init__(self, call: str) -> None:
        super().__init__(f'{call}: too many calls of the cloud API')


class WithheldCallError(CloudError):
    """The token became invalid before the call was sent."""

    def __init__(self, call: str) -> None:
        super().__init__(f'{call}: not sent, the token is not valid any more')
