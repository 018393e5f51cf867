"""The order ledger: claims, lost responses, concurrent writers, retries."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bluebellhub.errors import ConflictError
from bluebellhub.order import (
    Claim,
    OrderOutcome,
    begin_write,
    confirm_write,
    make_ledger,
    needs_read,
    queue_claim,
    queue_outcome,
    queue_release,
    reconcile,
    shard_of,
)
from bluebellhub.order.record import BODY_MAX_BYTES, RECORDS_MAX, RETENTION_S
from bluebellhub.standins.platform_model import (
    make_platform_model,
    read_object,
    write_object,
)

KIND = 'order_shard'


def _read_shard(ledger, model):
    stored = read_object(model, KIND, ledger.shard)
    return reconcile(ledger, stored.version, stored.spec)


def _write_shard(ledger, model, now_s, fault='none'):
    """Run one write cycle against the store; returns the answers."""
    answers = []
    if needs_read(ledger):
        answers += _read_shard(ledger, model)
    update, claimed = begin_write(ledger, now_s)
    answers += claimed
    if update is None or fault == 'lost_before':
        return answers
    try:
        stored = write_object(
            model, KIND, ledger.shard, update.spec, update.version
        )
    except ConflictError:
        return answers
    if fault == 'lost_after':
        return answers
    return answers + confirm_write(ledger, stored.version)


def _states(answers):
    return {answer.claim_id: answer.state for answer in answers}


@pytest.mark.parametrize('fault', ['none', 'lost_before', 'lost_after'])
def test_claim_is_granted_once_after_lost_response(fault):
    model = make_platform_model()
    ledger = make_ledger('000')
    queue_claim(ledger, Claim('c1', 'k', 'h'))
    first = _states(_write_shard(ledger, model, 0.0, fault))
    second = _states(_write_shard(ledger, model, 0.1))
    granted = [states for states in (first, second) if states]
    assert granted == [{'c1': 'granted'}]


@pytest.mark.parametrize(
    ('second', 'done', 'expected'),
    [
        (Claim('c2', 'k', 'h'), False, 'unknown'),
        (Claim('c2', 'k', 'h'), True, 'done'),
        (Claim('c2', 'k', 'other'), True, 'reused'),
        (Claim('c2', 'k2', 'h'), True, 'granted'),
    ],
)
def test_claim_at_another_vm_is_answered_from_store(second, done, expected):
    model = make_platform_model()
    first = make_ledger('000')
    other = make_ledger('000')
    queue_claim(first, Claim('c1', 'k', 'h'))
    _write_shard(first, model, 0.0)
    if done:
        queue_outcome(first, OrderOutcome('c1', 'k', 201, 'text/plain', 'ok'))
        _write_shard(first, model, 0.1)
    queue_claim(other, second)
    assert _states(_write_shard(other, model, 0.2)) == {'c2': expected}


def test_concurrent_writers_grant_one_claim():
    model = make_platform_model()
    ledgers = [make_ledger('000'), make_ledger('000')]
    updates = []
    for number, ledger in enumerate(ledgers):
        _read_shard(ledger, model)
        queue_claim(ledger, Claim(f'c{number}', 'k', 'h'))
        updates.append(begin_write(ledger, 0.0)[0])
    write_object(model, KIND, '000', updates[1].spec, updates[1].version)
    with pytest.raises(ConflictError):
        write_object(model, KIND, '000', updates[0].spec, updates[0].version)
    assert _states(_read_shard(ledgers[0], model)) == {'c0': 'unknown'}
    assert _states(_read_shard(ledgers[1], model)) == {'c1': 'granted'}


@pytest.mark.parametrize(
    ('size', 'kept'), [(BODY_MAX_BYTES, True), (BODY_MAX_BYTES + 1, False)]
)
def test_long_response_bodies_are_not_stored(size, kept):
    model = make_platform_model()
    ledger = make_ledger('000')
    queue_claim(ledger, Claim('c1', 'k', 'h'))
    _write_shard(ledger, model, 0.0)
    outcome = OrderOutcome('c1', 'k', 200, 'text/plain', 'x' * size)
    queue_outcome(ledger, outcome)
    _write_shard(ledger, model, 0.1)
    assert (ledger.records['k'].body is not None) is kept


@pytest.mark.parametrize(
    ('age_s', 'expected'),
    [(RETENTION_S - 1, 'unknown'), (RETENTION_S + 1, 'granted')],
)
def test_records_expire_after_retention_time(age_s, expected):
    model = make_platform_model()
    ledger = make_ledger('000')
    queue_claim(ledger, Claim('c1', 'k', 'h'))
    _write_shard(ledger, model, 0.0)
    queue_claim(ledger, Claim('c2', 'k', 'h'))
    assert _states(_write_shard(ledger, model, age_s)) == {'c2': expected}


def test_released_claim_frees_its_key():
    model = make_platform_model()
    ledger = make_ledger('000')
    queue_claim(ledger, Claim('c1', 'k', 'h'))
    _write_shard(ledger, model, 0.0)
    queue_release(ledger, 'c1', 'k')
    _write_shard(ledger, model, 0.1)
    queue_claim(ledger, Claim('c2', 'k', 'h'))
    assert _states(_write_shard(ledger, model, 0.2)) == {'c2': 'granted'}


def test_full_shard_is_reported_and_fits_in_store():
    model = make_platform_model()
    ledger = make_ledger('000')
    for number in range(RECORDS_MAX + 1):
        queue_claim(ledger, Claim(f'c{number}', f'k{number}', 'h' * 64))
    states = _states(_write_shard(ledger, model, 0.0))
    assert states[f'c{RECORDS_MAX}'] == 'full'
    assert len(ledger.records) == RECORDS_MAX


def test_keys_spread_over_all_shards():
    shards = {shard_of(f'key-{number}') for number in range(2000)}
    assert len(shards) == 64


class LedgerMachine(RuleBasedStateMachine):
    """Two VMs claim the same keys; responses get lost and VMs crash."""

    @initialize()
    def start(self):
        self.model = make_platform_model()
        self.ledgers = [make_ledger('000'), make_ledger('000')]
        self.dispatched = {}
        self.serial = 0

    def _dispatch(self, vm, answers):
        for answer in answers:
            claim = self.claims.pop(answer.claim_id, None)
            if answer.state == 'granted' and claim is not None:
                key = claim.key
                self.dispatched[key] = self.dispatched.get(key, 0) + 1

    @rule(vm=st.integers(0, 1), key=st.sampled_from('abc'))
    def claim(self, vm, key):
        self.serial += 1
        claim = Claim(f'c{self.serial}', key, 'h')
        self.claims = getattr(self, 'claims', {})
        self.claims[claim.claim_id] = claim
        queue_claim(self.ledgers[vm], claim)

    @rule(
        vm=st.integers(0, 1),
        fault=st.sampled_from(['none', 'lost_before', 'lost_after']),
    )
    def write(self, vm, fault):
        answers = _write_shard(self.ledgers[vm], self.model, 0.0, fault)
        self.claims = getattr(self, 'claims', {})
        self._dispatch(vm, answers)

    @rule(vm=st.integers(0, 1))
    def crash(self, vm):
        self.ledgers[vm] = make_ledger('000')

    @invariant()
    def dispatched_at_most_once(self):
        counts = getattr(self, 'dispatched', {})
        assert all(count <= 1 for count in counts.values())


TestLedgerSoak = LedgerMachine.TestCase
