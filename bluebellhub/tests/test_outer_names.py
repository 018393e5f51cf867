"""Names and bytes that leave the process, against samples of an older build.

A VM exchanges messages, stored objects and settings with VMs and tools of
other builds, so a renamed class or field must not change what is written.
"""

import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec
import pytest
import yaml

from bluebellhub.adapters.chat import ErrorBody
from bluebellhub.adapters.status import NodeStatus
from bluebellhub.configuration.kinds import check_object
from bluebellhub.metrics import LABELS
from bluebellhub.order.record import decode_records, encode_records
from bluebellhub.peer_messages import (
    decode_message,
    encode_message,
    message_types,
)
from bluebellhub.settings import DUTY_VARIABLE, parse_settings
from bluebellhub.site.version_moves import StateWrite
from bluebellhub.usage import UsageReport

SAMPLES: Final = Path(__file__).parent / 'samples'
DEPLOYED: Final = Path(__file__).parents[2] / 'deploy' / 'settings.yaml'
MESSAGES: Final = dict(
    line.split() for line in (SAMPLES / 'peer_messages.txt').open()
)
# Messages that have got last fields since, as an earlier build wrote them, and
# the names of those fields.
OLDER_MESSAGES: Final = [
    line.split() for line in (SAMPLES / 'older_peer_messages.txt').open()
]
NEWER_FIELDS: Final = {
    'queued': {},
    'slowdowns': {},
    'demand': {},
    'is_cut_off': False,
    'cut_off': [],
    'contact_age_s': None,
}


@pytest.mark.parametrize('name', MESSAGES)
def test_peer_message_keeps_its_bytes(name: str) -> None:
    encoded = bytes.fromhex(MESSAGES[name])
    message = decode_message(encoded)
    assert encode_message(message) == encoded
    assert isinstance(message, message_types.find(name))


@pytest.mark.parametrize(('name', 'encoded', 'lacking'), OLDER_MESSAGES)
def test_message_without_the_last_fields_is_read(
    name: str, encoded: str, lacking: str
) -> None:
    """A field without a default would end gossip during a rolling update."""
    older = decode_message(bytes.fromhex(encoded))
    newer = decode_message(bytes.fromhex(MESSAGES[name]))
    assert decode_message(encode_message(older)) == older
    assert older != newer
    if name == 'NewsBatch':
        older, newer = older.items[0].report, newer.items[0].report
    defaults = {field: NEWER_FIELDS[field] for field in lacking.split(',')}
    assert older == newer._replace(**defaults)


def test_every_peer_message_has_a_sample() -> None:
    assert message_types.names() == sorted(MESSAGES)


def plain(record: Any) -> Any:
    """Return a record as mappings and lists."""
    if hasattr(record, '_asdict'):
        return {name: plain(part) for name, part in record._asdict().items()}
    if isinstance(record, tuple):
        return [plain(part) for part in record]
    return record


def test_settings_keep_their_keys() -> None:
    text = (SAMPLES / 'settings.yaml').read_text(encoding='utf-8')
    assert plain(parse_settings(text)) == yaml.safe_load(text)


def test_deployed_template_has_known_keys() -> None:
    """Each key of the template is one of the sample's keys."""
    text = (
        DEPLOYED.read_text(encoding='utf-8').replace('{{', '').replace('}}', '')
    )
    known = yaml.safe_load((SAMPLES / 'settings.yaml').read_text())
    template = yaml.safe_load(text)
    assert template.keys() <= known.keys()
    assert template['site'].keys() <= known['site'].keys()
    role = tomllib.loads((DEPLOYED.parent / 'system.toml').read_text())
    duty = role['roles']['hub']['env'][DUTY_VARIABLE]
    duty_fields = yaml.safe_load(duty.replace('{{', '').replace('}}', ''))
    assert duty_fields.keys() <= known['site']['duty'].keys()


OBJECTS: Final = [
    (
        'contract',
        {
            'key_sha256': '6' * 64,
            'tiers': ['check'],
            'models': ['hire-assistant'],
            'services': ['bookings'],
            'rate_per_s': 20.0,
            'concurrency': 51,
            'prompt_tokens_max': 4000,
            'output_tokens_max': 500,
            'weight': 2.0,
        },
    ),
    (
        'upstream',
        {
            'address': '127.0.0.1:8301',
            'targets': ['hire-assistant'],
            'failure_domain': 'rennes',
            'kind': 'service',
            'version': '7',
            'hardware': 'large',
            'window': 33,
            'cold_window': 3,
            'prefill_tokens_per_s': 8001.0,
            'step_s': 0.04,
            'fences': False,
            'leaving': True,
            'cold_per_s': 1.5,
            'cold_start_s': 2.5,
            'tokens_per_event': 4,
            'faster_ratio_max': 1.75,
            'learn_min_tokens': 65,
        },
    ),
    ('failure_domain', {'state': 'out', 'ramp_s': 11.0}),
    (
        'version_move',
        {
            'from_version': '1',
            'to_version': '2',
            'due_at': 100.5,
            'largest_unproven_share': 0.07,
            'wanted': 'abort',
        },
    ),
    (
        'move_status',
        {
            'to_version': '2',
            'state': 'taken_back',
            'step': 3,
            'reason': 'errors',
            'leader': 'hub-1',
        },
    ),
]


@pytest.mark.parametrize(('kind', 'fields'), OBJECTS)
def test_stored_object_keeps_its_fields(
    kind: str, fields: dict[str, Any]
) -> None:
    record = plain(check_object(kind, 'yard', fields))
    assert fields.items() <= record.items()
    assert len(record) == len(fields) + 1


def test_order_records_keep_their_form() -> None:
    spec = (
        b'{"records":{"yard/1":'
        b'["hash","claim",9.5,"done",200,"text/plain","whole"]}}'
    )
    records = decode_records(msgspec.json.decode(spec))
    assert msgspec.json.encode(encode_records(records)) == spec


WRITTEN: Final = [
    (
        NodeStatus,
        'vm state in_progress queued peers map_version revision upstreams '
        'domains_out',
    ),
    (ErrorBody, 'type message run retry_after_s'),
    (StateWrite, 'model to_version state revision reason'),
    (
        UsageReport,
        'start_id sequence wall_s true_s first_window windows queued is_holder '
        'is_time_known closed',
    ),
]


@pytest.mark.parametrize(('kind', 'names'), WRITTEN)
def test_written_record_keeps_its_fields(kind: Any, names: str) -> None:
    assert list(kind.__annotations__) == names.split()


def test_counters_keep_names_and_labels() -> None:
    assert LABELS == {
        'sheds': 'rule',
        'links': 'change',
        'forwarded': 'outcome',
        'requests': 'tier',
        'ends': 'outcome',
        'dispatches': 'tier',
        'answers': 'tier',
        'preemptions': 'tier',
        'callers_left': 'tier',
        'refusals': 'reason',
        'front_end_refusals': 'reason',
        'retries': 'reason',
        'retries_denied': 'reason',
        'peer_messages': 'direction',
        'peer_bytes': 'direction',
        'store_calls': 'call',
        'moves': 'outcome',
        'refused_reports': 'upstream',
        'reports': 'upstream',
        'stated_limits': 'change',
        'rejection_limits': 'change',
        'quarantined': 'evidence',
        'asked_pauses': 'change',
        'departures': 'source',
        'duty_changes': 'change',
        'duty_calls': 'outcome',
        'duty_reports': 'use',
        'usage_reports': 'change',
        'usage_windows': 'outcome',
        'scale_orders': 'outcome',
        'store_relays': 'event',
        'domain_sends': 'to',
        'domain_bytes': 'to',
    }
