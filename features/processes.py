"""Start and stop a small fleet of real processes on loopback."""

import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

import httpx

from bluebellhub.contract import hash_key
from bluebellhub.tests.addresses import choose_addresses

__all__ = [
    'Site',
    'StartError',
    'hash_test_key',
    'start_site',
    'stop_site',
    'wait_until',
]

READY_TIMEOUT_S: Final = 40.0
LOG_LINES_SHOWN: Final = 20
FAILURE_DOMAINS: Final = ('rennes', 'vannes', 'brest')


class StartError(TimeoutError):
    """The processes of a site did not serve in time."""


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

    Raises `StartError` after ``READY_TIMEOUT_S``; the processes are stopped
    then.
    """
    site, peer_addresses = _make_site(folder)
    try:
        _start_processes(site, peer_addresses)
    except TimeoutError as error:
        description = _describe(site)
        stop_site(site)
        raise StartError(description) from error
    return site


def _make_site(folder: Path) -> tuple[Site, list[str]]:
    """Return a site without processes, and its hubs' addresses for peers."""
    count = len(FAILURE_DOMAINS)
    platform, service, *others = choose_addresses(2 + 3 * count)
    engines, hubs = others[:count], others[count : 2 * count]
    site = Site(platform, engines, service, hubs, {}, folder)
    return site, others[2 * count :]


def _start_processes(site: Site, peer_addresses: list[str]) -> None:
    standin_module = 'bluebellhub.standins.main'
    _start(
        site, 'platform', standin_module, 'platform', '--listen', site.platform
    )
    _start(site, 'service', standin_module, 'service', '--listen', site.service)
    for number, address in enumerate(site.engines):
        start_engine(site, number, address)
    vm_entries = []
    for number, domain in enumerate(FAILURE_DOMAINS):
        start_hub(site, number, peer_addresses[number])
        vm_entries.append([f'hub-{number}', peer_addresses[number], domain])
    wait_until(lambda: _publish_vms(site, vm_entries))
    _put_objects(site)
    wait_until(lambda: all(_is_serving(site, hub) for hub in site.hubs))


def _describe(site: Site) -> str:
    """Return the exit code and the end of the log of each process."""
    lines = ['the processes did not serve in time']
    for name, process in site.processes.items():
        lines.append(f'{name}: exit code {process.poll()}')
        log = (site.folder / f'{name}.log').read_text(errors='replace')
        lines.extend(log.splitlines()[-LOG_LINES_SHOWN:])
    return '\n'.join(lines)


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
