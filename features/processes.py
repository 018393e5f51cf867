"""Start and stop a small fleet of real processes on loopback."""

import os
import random
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

import httpx

from bluebellhub.contract import hash_key

__all__ = ['Site', 'hash_test_key', 'start_site', 'stop_site', 'wait_until']

READY_TIMEOUT_S: Final = 40.0
LISTENING_PORTS: Final = range(20_000, 32_000)
FAILURE_DOMAINS: Final = ('rennes', 'vannes', 'brest')


class Site(NamedTuple):
    """Running processes and their addresses."""

    platform: str
    engines: list[str]
    service: str
    hubs: list[str]
    processes: dict[str, subprocess.Popen]
    folder: Path


def hash_test_key() -> str:
    """Return the hash of the secret key of all test accounts."""
    return hash_key('orchard')


def _free_address() -> str:
    """Return an address that nothing listens on.

    Its port is below those of outgoing connections, so that no connection gets
    it before the process that is started with it listens.
    """
    while True:
        port = random.choice(LISTENING_PORTS)
        with socket.socket() as free_socket:
            try:
                free_socket.bind(('127.0.0.1', port))
            except OSError:
                continue
            return f'127.0.0.1:{port}'


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
    """Start the stand-ins and three hubs, and wait until they are serving.

    Raises `TimeoutError` after ``READY_TIMEOUT_S``.
    """
    engines = [_free_address() for _ in FAILURE_DOMAINS]
    hubs = [_free_address() for _ in FAILURE_DOMAINS]
    site = Site(_free_address(), engines, _free_address(), hubs, {}, folder)
    standin_module = 'bluebellhub.standins.main'
    _start(
        site, 'platform', standin_module, 'platform', '--listen', site.platform
    )
    _start(site, 'service', standin_module, 'service', '--listen', site.service)
    for number, address in enumerate(engines):
        start_engine(site, number, address)
    vm_entries = []
    for number, domain in enumerate(FAILURE_DOMAINS):
        peer_address = _free_address()
        start_hub(site, number, peer_address)
        vm_entries.append([f'hub-{number}', peer_address, domain])
    wait_until(lambda: _publish_vms(site, vm_entries))
    _put_objects(site)
    wait_until(lambda: all(_is_serving(site, hub) for hub in hubs))
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


def start_hub(site: Site, number: int, peer_address: str) -> None:
    """Start a daemon with its settings written to the site's folder."""
    settings = site.folder / f'hub-{number}.yaml'
    settings.write_text(
        f'vm: hub-{number}\n'
        f'failure_domain: {FAILURE_DOMAINS[number]}\n'
        f'listen: {site.hubs[number]}\n'
        f'peer_listen: {peer_address}\n'
        f'platform: {site.platform}\n'
    )
    _start(
        site,
        f'hub-{number}',
        'bluebellhub.daemon',
        '--settings',
        str(settings),
    )


def wait_until(condition: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Poll until ``condition`` returns true; HTTP errors count as false.

    Raises `TimeoutError` after ``timeout_s``.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except httpx.HTTPError:
            time.sleep(0.1)
        time.sleep(0.1)
    raise TimeoutError('the condition did not come true in time')


def _publish_vms(site: Site, vm_entries: list[list[str]]) -> bool:
    url = f'http://{site.platform}/control'
    return httpx.post(url, json={'vms': vm_entries}).status_code == 200


def put_object(site: Site, kind: str, name: str, spec: dict[str, Any]) -> None:
    """Create an object on the platform."""
    url = f'http://{site.platform}/v1/objects/{kind}/{name}'
    response = httpx.put(url, json=spec, headers={'If-Match': '0'})
    response.raise_for_status()


def _put_objects(site: Site) -> None:
    yard_contract = {
        'key_sha256': hash_test_key(),
        'tiers': ['check', 'plan'],
        'models': ['hire-assistant'],
        'services': ['bookings'],
        'rate_per_s': 1000.0,
    }
    put_object(site, 'contract', 'yard', yard_contract)
    small_contract = {
        **yard_contract,
        'tiers': ['check'],
        'prompt_tokens_max': 100,
    }
    put_object(site, 'contract', 'small', small_contract)
    service_spec = {
        'address': site.service,
        'targets': ['bookings'],
        'failure_domain': 'vannes',
        'kind': 'service',
        'cold_window': 8,
    }
    put_object(site, 'upstream', 'bookings-1', service_spec)
    for number, address in enumerate(site.engines):
        engine_spec = {
            'address': address,
            'targets': ['hire-assistant'],
            'failure_domain': FAILURE_DOMAINS[number],
        }
        put_object(site, 'upstream', f'hire-{number}', engine_spec)


def _is_serving(site: Site, hub: str) -> bool:
    """Return whether a hub serves both the model and the service."""
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
    """Kill all processes of the site and wait for them."""
    for process in site.processes.values():
        process.kill()
    for process in site.processes.values():
        process.wait()
