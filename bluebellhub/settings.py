"""Settings of the daemon: one YAML file, validated field by field.

The object lists ``contracts`` and ``upstreams`` are for a VM that runs
alone; in a fleet both are empty, and the objects come from the platform.
"""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Final, NamedTuple

import msgspec
import yaml

from bluebellhub.configuration.addresses import check_address
from bluebellhub.errors import SettingsError
from bluebellhub.records import read_record
from bluebellhub.routing import policies

__all__ = [
    'DUTY_VARIABLE',
    'DutySettings',
    'Limits',
    'Peer',
    'Settings',
    'SiteSettings',
    'load_settings',
    'parse_settings',
]

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


ADDRESS_FIELDS: Final = (
    'store',
    'ready_listen',
    'forward_listen',
    'metrics_listen',
)
DUTY_VARIABLE: Final = 'HUB_DUTY_SETTINGS'
LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class Peer(NamedTuple):
    """Another VM known at startup; others follow from the list of VMs."""

    name: str
    address: str
    failure_domain: str = ''


class Limits(NamedTuple):
    """Limits of one VM; sizes in bytes, times in seconds."""

    body_max_bytes: Count = 1_048_576
    header_max_bytes: Count = 16_384
    service_timeout_s: Positive = 10.0
    next_byte_s: Positive = 5.0
    connect_timeout_s: Positive = 1.0
    drain_s: Positive = 60.0


class DutySettings(NamedTuple):
    """Duties that one VM at a time holds, used if ``duties`` names any.

    Orders go to the platform's API at ``cloud``, at most ``calls_per_s`` from
    all VMs together.  With ``fencing_enforced`` it rejects a token that is
    lower than one it has seen.  Usage is reported for windows of
    ``usage_window_s``, at most ``usage_late_s`` after their end, and may differ
    from the truth by the ratio ``usage_off``.
    """

    cloud: str = ''
    duties: str = ''
    calls_per_s: Positive = 50.0
    fencing_enforced: bool = False
    lease_ms: Positive = 3000.0
    thaw_slack_ms: NonNegative = 300.0
    usage_window_s: Positive = 5.0
    usage_late_s: Positive = 10.0
    usage_off: NonNegative = 0.05


class SiteSettings(NamedTuple):
    """A VM's settings for the users' platform, used if ``store`` is set.

    The address ``ready_listen`` serves readiness and metrics, and
    ``metrics_listen``, if set, metrics only.  VMs that are cut off from the
    upstreams send the requests of their callers to ``forward_listen``; without
    it, this VM neither takes such requests nor sends its own.  ``grace_s`` is
    the time from SIGTERM to SIGKILL.  The others bound what all VMs together
    may do in a window: ``quota`` beyond the accounts' limits, ``retry`` beyond
    callers' requests, and ``cold`` beyond a cold upstream's rate.  Without a
    ``retry_ratio`` only the attempts of each request are limited.  A byte that
    leaves the failure domain costs ``domain_byte_price`` worths of a request;
    without a price, a fixed preference keeps requests local.
    """

    store: str = ''
    ready_listen: str = ''
    forward_listen: str = ''
    metrics_listen: str = ''
    grace_s: Positive = 8.0
    quota_window_s: Positive = 8.0
    quota_overage: NonNegative = 0.0
    quota_slack: NonNegative = 0.0
    retry_window_s: Positive = 10.0
    retry_ratio: NonNegative | None = None
    retry_slack: NonNegative = 0.0
    cold_overage: Positive = 1.0
    cold_slack: NonNegative = 0.0
    duty: DutySettings = DutySettings()
    domain_byte_price: NonNegative | None = None


class Settings(NamedTuple):
    """All settings of a daemon.

    Callers connect to the address ``listen``, other VMs to ``peer_listen``.
    ``platform`` is the address of the object API; without it the VM runs
    alone.
    """

    vm: str
    failure_domain: str
    listen: str
    peer_listen: str | None = None
    platform: str | None = None
    peers: tuple[Peer, ...] = ()
    limits: Limits = Limits()
    site: SiteSettings = SiteSettings()
    policy: str = 'predicted'
    log_level: str = 'INFO'
    warm_start: bool = False
    contracts: tuple[dict[str, Any], ...] = ()
    upstreams: tuple[dict[str, Any], ...] = ()


def load_settings(path: Path) -> Settings:
    """Read a settings file; raises `SettingsError`.

    The section ``site.duty`` may come from the environment, as YAML.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        reason = error.strerror or 'unreadable'
        raise SettingsError('file', str(path), f'a file ({reason})') from None
    except UnicodeDecodeError as error:
        raise SettingsError('file', error.reason, 'UTF-8 text') from None
    return parse_settings(text, os.environ.get(DUTY_VARIABLE, ''))


def parse_settings(text: str, duty_text: str = '') -> Settings:
    """Parse the text of a settings file; raises `SettingsError`.

    ``duty_text`` is the section ``site.duty``, if the file does not have it.
    """
    fields = _parse_yaml(text, 'file')
    site = fields.get('site') if isinstance(fields, dict) else None
    if duty_text and isinstance(site, dict):
        site.setdefault('duty', _parse_yaml(duty_text, DUTY_VARIABLE))
    settings = read_record(Settings, _without_empty(fields), 'settings')
    settings = settings._replace(site=_without_forwarding(settings.site))
    _check_names(settings)
    _check_addresses(settings)
    return settings


def _parse_yaml(text: str, source: str) -> object:
    """Parse YAML; ``source`` names it in errors."""
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        problem = getattr(error, 'problem', None) or 'not YAML'
        raise SettingsError(source, problem, 'a YAML mapping') from None
    except RecursionError:
        raise SettingsError(source, 'deep nesting', 'a YAML mapping') from None


def _without_empty(fields: object) -> object:
    """Return the fields without those that have no value.

    A template leaves a field empty for which a deployment states nothing.
    """
    if not isinstance(fields, Mapping):
        return fields
    return {
        name: _without_empty(value)
        for name, value in fields.items()
        if value is not None
    }


def _without_forwarding(site: SiteSettings) -> SiteSettings:
    """Return the settings without a forwarding address that has no port.

    A template renders one so where the platform leaves no port for it.
    """
    if site.forward_listen.endswith(':'):
        return site._replace(forward_listen='')
    return site


def _check_names(settings: Settings) -> None:
    """Check the routing policy and the log level."""
    if settings.policy not in policies.entries:
        known = ', '.join(policies.names())
        raise SettingsError(
            'settings.policy', settings.policy, f'one of: {known}'
        )
    if settings.log_level not in LOG_LEVELS:
        known = ', '.join(LOG_LEVELS)
        raise SettingsError(
            'settings.log_level', settings.log_level, f'one of: {known}'
        )


def _check_site(settings: Settings) -> None:
    """Check the addresses that a VM on the users' platform needs."""
    for field in ADDRESS_FIELDS:
        address = getattr(settings.site, field)
        if address:
            check_address(address, f'settings.site.{field}')
    if settings.site.store and not settings.site.ready_listen:
        raise SettingsError('settings.site.ready_listen', '', 'an address')
    if settings.site.store and settings.peer_listen is None:
        raise SettingsError('settings.peer_listen', None, 'an address')
    duty = settings.site.duty
    if duty.duties or duty.cloud:
        check_address(duty.cloud, 'settings.site.duty.cloud')


def _check_addresses(settings: Settings) -> None:
    check_address(settings.listen, 'settings.listen')
    for field in ('peer_listen', 'platform'):
        address = getattr(settings, field)
        if address is not None:
            check_address(address, f'settings.{field}')
    _check_site(settings)
    for index, peer in enumerate(settings.peers):
        check_address(peer.address, f'settings.peers[{index}].address')
