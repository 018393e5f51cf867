"""Reloads the settings file when it changes while the VM runs."""

from pathlib import Path
from typing import Final

import logbook
import trio

from bluebellhub.errors import SettingsError
from bluebellhub.faults import isolate_fault
from bluebellhub.settings import Settings, load_settings

__all__ = ['changed_fields', 'reload_settings', 'watch_settings']

# The file is polled too, since it may change without a SIGHUP.
POLL_INTERVAL_S: Final = 2.0

log = logbook.Logger('bluebellhub.settings')


async def watch_settings(path: Path, settings: Settings) -> None:
    """Poll the settings file and reload it on a change, until cancelled."""
    current = settings
    last_stamp = _file_stamp(path)
    while True:
        await trio.sleep(POLL_INTERVAL_S)
        stamp = _file_stamp(path)
        if stamp != last_stamp:
            last_stamp = stamp
            with isolate_fault('reload'):
                current = reload_settings(path, current)


def _file_stamp(path: Path) -> tuple[int, int, int] | None:
    """Return inode, modification time and size; ``None`` without a file."""
    try:
        status = path.stat()
    except OSError as error:
        log.warning('settings file not readable', extra={'cause': str(error)})
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size


def reload_settings(path: Path, current: Settings) -> Settings:
    """Read the settings file; return ``current`` if it is not valid.

    Settings take effect only at startup.  The names of changed fields are
    logged, and the change applies at the next start.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        log.error(
            'settings file not valid; the change is ignored',
            extra={'cause': str(error)},
        )
        return current
    fields = changed_fields(current, settings)
    if fields:
        log.info(
            'settings changed; they apply at the next start',
            extra={'at_next_start': fields},
        )
    return settings


def changed_fields(current: Settings, settings: Settings) -> list[str]:
    """Return the names of the fields that differ."""
    names: list[str] = []
    for name in Settings._fields:
        before, after = getattr(current, name), getattr(settings, name)
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
