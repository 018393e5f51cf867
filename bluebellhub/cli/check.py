"""The command that checks a configuration before it is sent.

It reads files only and writes nothing.
"""

import argparse
import json
from pathlib import Path
from typing import Any, Final, NamedTuple

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import CommandResult, command
from bluebellhub.errors import SettingsError
from bluebellhub.platform.config_draft import (
    DraftResult,
    read_draft,
    wire_place,
)
from bluebellhub.platform.documents import (
    Document,
    find_line,
    read_document,
)
from bluebellhub.route.changes import find_changes
from bluebellhub.route.checks import Finding, Place, run_checks

__all__ = ['check_file']

EXIT_FINDINGS: Final = 1


class ReadFile(NamedTuple):
    """A configuration as read from a file."""

    path: Path
    document: Document
    result: DraftResult


@command(
    'check',
    'check a configuration of routes, services, limits and accounts',
    file={'help': 'the YAML or JSON document that is about to be sent'},
    opt_against={
        'type': Path,
        'metavar': 'FILE',
        'help': 'the version in force, to tell what differs',
    },
    opt_format={
        'choices': ('text', 'json'),
        'default': 'text',
        'help': 'output for people or for programs',
    },
)
async def check_file(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Print findings and changes; status 1 if there is a finding.

    Raises `SettingsError` and `DocumentError` for a file that is unreadable.
    """
    checked = _read_file(args.file)
    findings = _find_all(checked)
    changes: list[dict[str, Any]] = []
    if args.against:
        in_force = _read_file(args.against)
        findings.extend(_check_version(checked, in_force))
        changes = [
            change._asdict()
            for change in find_changes(
                in_force.result.draft, checked.result.draft
            )
        ]
    rows = [_make_row(checked, finding) for finding in findings]
    if args.format == 'json' or args.json:
        output = {'findings': rows, 'changes': changes}
        print(json.dumps(output, indent=2, ensure_ascii=True))
    else:
        _print_text(rows, changes, is_compared=bool(args.against))
    return CommandResult(rows, EXIT_FINDINGS if rows else 0, is_printed=True)


def _read_file(path: Path) -> ReadFile:
    """Read a file; raises `SettingsError` and `DocumentError`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or 'unreadable'
        raise SettingsError('file', str(path), f'a file ({reason})') from None
    document = read_document(text)
    return ReadFile(path, document, read_draft(document.content))


def _find_all(checked: ReadFile) -> list[Finding]:
    """Return all findings, with places in the document."""
    findings = [
        Finding('form', path, 'a repeated field', 'each field once')
        for path in checked.document.repeated
    ]
    findings.extend(checked.result.findings)
    for finding in run_checks(checked.result.draft):
        place = wire_place(
            checked.result, checked.document.content, finding.place
        )
        findings.append(finding._replace(place=place))
    return findings


def _check_version(checked: ReadFile, in_force: ReadFile) -> list[Finding]:
    """Return a finding if VMs would ignore the version."""
    version = checked.result.draft.version
    least = in_force.result.draft.version + 1
    if version >= least:
        return []
    expected = f'at least {least}; VMs ignore a version that is not newer'
    return [Finding('version', ('version',), str(version), expected)]


def _make_row(checked: ReadFile, finding: Finding) -> dict[str, Any]:
    return {
        'file': str(checked.path),
        'line': find_line(checked.document, finding.place),
        'field': _field_name(finding.place),
        'check': finding.check,
        'got': finding.got,
        'expected': finding.expected,
    }


def _field_name(place: Place) -> str:
    """Return a place as text.

    >>> _field_name(('routes', 2, 'host'))
    'routes[2].host'
    """
    name = ''.join(
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in place
    )
    return name.removeprefix('.') or 'document'


def _print_text(
    rows: list[dict[str, Any]],
    changes: list[dict[str, Any]],
    *,
    is_compared: bool,
) -> None:
    """Print a line for each finding and each change."""
    for row in rows:
        where = f'{row["file"]}:{row["line"]}' if row['line'] else row['file']
        print(
            f'{where}: {row["field"]}: got {row["got"]}, '
            f'expected {row["expected"]} ({row["check"]})'
        )
    if not rows:
        print('no findings')
    for change in changes:
        details = f' ({change["details"]})' if change['details'] else ''
        print(
            f'{change["kind"]} {change["subject"]} {change["name"]}{details}; '
            f'affects {change["affected"]}'
        )
    if is_compared and not changes:
        print('no changes')
