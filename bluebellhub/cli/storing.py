"""Reading and writing objects for the tool's commands."""

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
    'read_documents',
    'remove',
    'save',
    'show',
    'update',
    'wait_in_force',
]

POLL_S: Final = 0.2


def read_documents(path: Path) -> list[tuple[str, dict[str, Any]]]:
    """Read named objects from a YAML file; raises `SettingsError`."""
    try:
        documents = list(yaml.safe_load_all(path.read_text(encoding='utf-8')))
    except (OSError, yaml.YAMLError) as error:
        reason = type(error).__name__
        raise SettingsError('file', str(path), f'YAML ({reason})') from None
    found = []
    for document in documents:
        if not isinstance(document, dict) or 'name' not in document:
            raise SettingsError('file', document, 'a mapping with a name')
        found.append((str(document.pop('name')), document))
    return found


async def save(
    platform: Platform,
    kind: str,
    name: str,
    fields: dict[str, Any],
    version: int | None,
) -> StoredObject:
    """Check and write an object; returns it as stored.

    Without a version the one of now is taken.  After a lost answer the
    object is read back.  Raises `ConflictError`, `SettingsError` or
    `ObjectError`.
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


async def update(
    platform: Platform,
    kind: str,
    name: str,
    changes: dict[str, Any],
    defaults: dict[str, Any] | None = None,
) -> StoredObject:
    """Change some fields of an object.

    Raises `MissingObjectError` if there is none and no defaults are given.
    """
    stored = await get_object(platform, kind, name)
    fields = defaults if stored.spec is None else stored.spec
    if fields is None:
        raise MissingObjectError(kind, name)
    return await save(
        platform, kind, name, {**fields, **changes}, stored.version
    )


async def remove(platform: Platform, kind: str, name: str) -> StoredObject:
    """Delete an object; raises `MissingObjectError`."""
    stored = await get_object(platform, kind, name)
    if stored.spec is None:
        raise MissingObjectError(kind, name)
    return await delete_object(platform, kind, name, stored.version)


async def show(
    platform: Platform, kind: str, name: str | None
) -> list[StoredObject]:
    """Read one object or all of a kind; raises `MissingObjectError`."""
    if name is None:
        return (await list_objects(platform, kind)).objects
    stored = await get_object(platform, kind, name)
    if stored.spec is None:
        raise MissingObjectError(kind, name)
    return [stored]


async def wait_in_force(
    platform: Platform, kind: str, name: str, version: int, timeout_s: float
) -> None:
    """Wait until a version is in force on every VM.

    Raises `WaitTimeoutError`.
    """
    what = f'{kind} {name!r} version {version}'
    with trio.move_on_after(timeout_s):
        while True:
            status = await get_object(
                platform, 'change_status', f'{kind}.{name}'
            )
            known = status.spec or {}
            if known.get('version', 0) >= version:
                return
            await trio.sleep(POLL_S)
    raise WaitTimeoutError(what, timeout_s, 'not in force everywhere')
