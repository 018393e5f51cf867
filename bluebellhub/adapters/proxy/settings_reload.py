"""Settings files that change while the VM runs."""

from pathlib import Path
from typing import Final

import logbook
import trio

from bluebellhub.errors import SettingsError
from bluebellhub.settings import Settings, load_settings

__all__ = ['changed_fields', 'follow_settings', 'read_again']

# The file may change without a signal.
LOOK_S: Final = 2.0

log = logbook.Logger('bluebellhub.settings')


async def follow_settings(path: Path, settings: Settings) -> None:
    """Look at the file now and then, until cancelled.

    It is read anew only if another one was written.
    """
    known = settings
    seen = _mark_of(path)
    while True:
        await trio.sleep(LOOK_S)
        mark = _mark_of(path)
        if mark != seen:
            seen = mark
            known = read_again(path, known)


def _mark_of(path: Path) -> tuple[int, int, int] | None:
    """Return what tells one writing of a file from another."""
    try:
        status = path.stat()
    except OSError as error:
        log.warning('settings not found', extra={'cause': str(error)})
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size


def read_again(path: Path, known: Settings) -> Settings:
    """Read the file; one that cannot be used changes nothing.

    All settings are read at a start only, so a change is logged with the
    names of its fields and waits for the next start.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        log.error('settings not usable', extra={'cause': str(error)})
        return known
    fields = changed_fields(known, settings)
    if fields:
        log.info('settings changed', extra={'at_next_start': fields})
    return settings


def changed_fields(known: Settings, settings: Settings) -> list[str]:
    """Return the names of the fields that differ."""
    names: list[str] = []
    for name in Settings._fields:
        before, after = getattr(known, name), getattr(settings, name)
        if before == after:
            continue
        parts = getattr(before, '_fields', ())
        names.extend(
            f'{name}.{part}'
            for part in parts
            if getattr(before, part) != getattr(after, part)
        )
        if not parts:
            names.append(name)
    return names
