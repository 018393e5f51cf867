"""Starts a small fleet of real processes on loopback for the features."""

import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

import httpx

from bluebellhub.contract import hash_key

__all__ = ['Site', 'key_digest', 'start_site', 'stop_site', 'wait_until']

READY_S: Final = 40.0
DOMAINS: Final = ('rennes', 'vannes', 'brest')


class Site(NamedTuple):
    """Running processes and their addresses."""

    platform: str
    engines: list[str]
    service: str
    hubs: list[str]
    processes: dict[str, subprocess.Popen]
    folder: Path


def key_digest() -> str:
    """Return the digest of the secret that the features use."""
    return hash_key('orchard')


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def _start(site: Site, name: str, *command: str) -> None:
    environment = {**os.environ, 'BLUEBELLHUB_FATAL': '1'}
    log = (site.folder / f'{name}.log').open('w')
    site.processes[name] = subprocess.Popen(
        [sys.executable, '-m', *command],
        stdout=log,
        stderr=log,
        env=environment,
    )


def start_site(folder: Path) -> Site:
    """Start the stand-ins and three hubs, and wait until they serve."""
    engines = [_free_address() for _ in DOMAINS]
    hubs = [_free_address() for _ in DOMAINS]
    site = Site(_free_address(), engines, _free_address(), hubs, {}, folder)
    standin = 'bluebellhub.standins.main'
    _start(site, 'platform', standin, 'platform', '--listen', site.platform)
    _start(site, 'service', standin, 'service', '--listen', site.service)
    for number, address in enumerate(engines):
        start_engine(site, number, address)
    vms = []
    for number, domain in enumerate(DOMAINS):
        peer = _free_address()
        start_hub(site, number, peer)
        vms.append([f'hub-{number}', peer, domain])
    wait_until(lambda: _set_vms(site, vms))
    _write_objects(site)
    wait_until(lambda: all(_serves(site, hub) for hub in hubs))
    return site


def start_engine(site: Site, number: int, address: str) -> None:
    """Start a stand-in engine."""
    name = f'hire-{number}'
    _start(
        site,
        name,
        'bluebellhub.standins.main',
        'engine',
        '--listen',
        address,
        '--name',
        name,
        '--warm',
    )


def start_hub(site: Site, number: int, peer: str) -> None:
    """Start a daemon with settings of its own."""
    settings = site.folder / f'hub-{number}.yaml'
    settings.write_text(
        f'vm: hub-{number}\n'
        f'failure_domain: {DOMAINS[number]}\n'
        f'listen: {site.hubs[number]}\n'
        f'peer_listen: {peer}\n'
        f'platform: {site.platform}\n'
    )
    _start(
        site,
        f'hub-{number}',
        'bluebellhub.daemon',
        '--settings',
        str(settings),
    )


def wait_until(check: Any, timeout_s: float = READY_S) -> None:
    """Wait until ``check`` holds; raises `TimeoutError`."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        try:
            if check():
                return
        except httpx.HTTPError:
            time.sleep(0.1)
        time.sleep(0.1)
    raise TimeoutError('the condition did not come true in time')


def _set_vms(site: Site, vms: list[list[str]]) -> bool:
    url = f'http://{site.platform}/control'
    return httpx.post(url, json={'vms': vms}).status_code == 200


def put(site: Site, kind: str, name: str, spec: dict[str, Any]) -> None:
    """Write a new object to the platform."""
    url = f'http://{site.platform}/v1/objects/{kind}/{name}'
    response = httpx.put(url, json=spec, headers={'If-Match': '0'})
    response.raise_for_status()


def _write_objects(site: Site) -> None:
    contract = {
        'key_sha256': key_digest(),
        'tiers': ['check', 'plan'],
        'models': ['hire-assistant'],
        'services': ['bookings'],
        'rate_per_s': 1000.0,
    }
    put(site, 'contract', 'yard', contract)
    small = {**contract, 'tiers': ['check'], 'prompt_tokens_max': 100}
    put(site, 'contract', 'small', small)
    service = {
        'address': site.service,
        'targets': ['bookings'],
        'failure_domain': 'vannes',
        'kind': 'service',
        'cold_window': 8,
    }
    put(site, 'upstream', 'bookings-1', service)
    for number, address in enumerate(site.engines):
        engine = {
            'address': address,
            'targets': ['hire-assistant'],
            'failure_domain': DOMAINS[number],
        }
        put(site, 'upstream', f'hire-{number}', engine)


def _serves(site: Site, hub: str) -> bool:
    response = httpx.post(
        f'http://{hub}/v1/chat/completions',
        headers={'Authorization': 'Bearer yard.orchard'},
        json={
            'model': 'hire-assistant',
            'messages': [{'role': 'user', 'content': 'hi'}],
            'max_tokens': 1,
        },
        timeout=10.0,
    )
    bookings = httpx.get(
        f'http://{hub}/services/bookings/bookings',
        headers={'Authorization': 'Bearer yard.orchard'},
        timeout=10.0,
    )
    return response.status_code == bookings.status_code == 200


def stop_site(site: Site) -> None:
    """Stop every process that was started."""
    for process in site.processes.values():
        process.kill()
    for process in site.processes.values():
        process.wait()
