"""Reads and writes of stored objects for the tool's commands."""

from pathlib import Path
from typing import Any, Final

import trio
import yaml

from bluebellhub.adapters.platform import (
    Platform,
    delete_object,
    get_object,
    list_objects,
    put_object,
)
from bluebellhub.cli.errors import MissingObjectError, WaitTimeoutError
from bluebellhub.configuration import StoredObject
from bluebellhub.configuration.kinds import check_object
from bluebellhub.errors import (
    ConflictError,
    SettingsError,
    StoreUnavailableError,
)

__all__ = [
    'delete_existing',
    'read_documents',
    'read_objects',
    'update_object',
    'wait_until_active',
    'write_object',
]

POLL_S: Final = 0.2


def read_documents(path: Path) -> list[tuple[str, dict[str, Any]]]:
    """Read the names and fields of objects from a YAML file.

    Raises `SettingsError`.
    """
    try:
        documents = list(yaml.safe_load_all(path.read_text(encoding='utf-8')))
    except (OSError, yaml.YAMLError) as error:
        reason = type(error).__name__
        raise SettingsError('file', str(path), f'YAML ({reason})') from None
    named_objects = []
    for document in documents:
        if not isinstance(document, dict) or 'name' not in document:
            raise SettingsError('file', document, 'a mapping with a name')
        named_objects.append((str(document.pop('name')), document))
    return named_objects


async def write_object(
    platform: Platform,
    kind: str,
    name: str,
    fields: dict[str, Any],
    version: int | None,
) -> StoredObject:
    """Check and write an object; returns it as stored.

    Without a version the current one is read first.  After a lost response
    the object is read again, to find out whether the write took effect.
    Raises `ConflictError`, `SettingsError`, `ObjectError` or
    `StoreUnavailableError`.
    """
    check_object(kind, name, fields)
    if version is None:
        version = (await get_object(platform, kind, name)).version
    try:
        return await put_object(platform, kind, name, fields, version)
    except StoreUnavailableError:
        stored = await get_object(platform, kind, name)
        if stored.version == version + 1 and stored.spec == fields:
            return stored
        if stored.version > version:
            raise ConflictError(
                f'{kind} {name!r}', version, stored.version
            ) from None
        raise


async def update_object(
    platform: Platform,
    kind: str,
    name: str,
    changes: dict[str, Any],
    defaults: dict[str, Any] | None = None,
) -> StoredObject:
    """Change some fields of an object; returns it as stored.

    Raises `MissingObjectError` if it does not exist and there are no
    ``defaults``, and the errors of `write_object`.
    """
    stored = await get_object(platform, kind, name)
    fields = defaults if stored.spec is None else stored.spec
    if fields is None:
        raise MissingObjectError(kind, name)
    return await write_object(
        platform, kind, name, {**fields, **changes}, stored.version
    )


async def delete_existing(
    platform: Platform, kind: str, name: str
) -> StoredObject:
    """Delete an object; raises `MissingObjectError` if it does not exist."""
    stored = await get_object(platform, kind, name)
    if stored.spec is None:
        raise MissingObjectError(kind, name)
    return await delete_object(platform, kind, name, stored.version)


async def read_objects(
    platform: Platform, kind: str, name: str | None
) -> list[StoredObject]:
    """Read one object, or all of a kind if ``name`` is ``None``.

    Raises `MissingObjectError` if the named object does not exist.
    """
    if name is None:
        return (await list_objects(platform, kind)).objects
    stored = await get_object(platform, kind, name)
    if stored.spec is None:
        raise MissingObjectError(kind, name)
    return [stored]


async def wait_until_active(
    platform: Platform, kind: str, name: str, version: int, timeout_s: float
) -> None:
    """Wait until a version of an object, or a later one, is active on all VMs.

    Raises `WaitTimeoutError` after ``timeout_s`` seconds.
    """
    subject = f'{kind} {name!r} version {version}'
    with trio.move_on_after(timeout_s):
        while True:
            status = await get_object(
                platform, 'change_status', f'{kind}.{name}'
            )
            reported = status.spec or {}
            if reported.get('version', 0) >= version:
                return
            await trio.sleep(POLL_S)
    raise WaitTimeoutError(subject, timeout_s, 'not in force everywhere')
