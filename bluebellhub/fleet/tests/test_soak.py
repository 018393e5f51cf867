"""Long randomised runs with losses, partitions, pauses and crashes.

``make soak`` runs many more steps than ``make test``.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bluebellhub.fleet.tests.small_fleet import (
    DOMAINS,
    leased_by_vm,
    run_for,
    start_fleet,
    start_vm,
)
from bluebellhub.scheduler.state import signals_of
from bluebellhub.standins.platform_model import read_object
from bluebellhub.standins.virtual_state import (
    kill_vm,
    pause_vm,
    write_as_operator,
)

COLD_WINDOW = 2
VMS = 4
NAMES = tuple(f'hub-{number}' for number in range(VMS))
names = st.sampled_from(NAMES)


class FleetMachine(RuleBasedStateMachine):
    """Four VMs and three cold upstreams under faults in any order."""

    @initialize(seed=st.integers(0, 3))
    def start(self, seed):
        self.virtual = start_fleet(vms=VMS, seed=seed, settle_s=6.0)
        self.revisions = {}

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.0, 5.0]))
    def wait(self, seconds):
        run_for(self.virtual, seconds)

    @rule(one=names, other=names)
    def disconnect(self, one, other):
        if one != other:
            self.virtual.partitions.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.virtual.partitions.clear()
        self.virtual.store_partitions.clear()

    @rule(name=names)
    def disconnect_store(self, name):
        self.virtual.store_partitions.add(name)

    @rule(down=st.booleans(), lost=st.integers(0, 2))
    def set_store_faults(self, down, lost):
        self.virtual.platform.state['down'] = down
        self.virtual.platform.state['lose_replies'] = lost

    @rule(
        loss=st.sampled_from([0.0, 0.3]), delay_s=st.sampled_from([0.01, 2.0])
    )
    def set_link_faults(self, loss, delay_s):
        self.virtual.faults.update(
            {'loss': loss, 'doubled': loss, 'delay_max_s': delay_s}
        )

    @rule(name=names, seconds=st.sampled_from([0.5, 1.7, 4.0]))
    def pause(self, name, seconds):
        now_s = self.virtual.clock.state['now_s']
        pause_vm(self.virtual, name, now_s + seconds)

    @rule(name=names)
    def crash(self, name):
        kill_vm(self.virtual, name)
        start_vm(self.virtual, name, DOMAINS[NAMES.index(name) % 3])
        self.revisions.pop(name, None)

    @rule(domain=st.sampled_from(DOMAINS), state=st.sampled_from(['in', 'out']))
    def operate_domain(self, domain, state):
        write_as_operator(
            self.virtual, 'failure_domain', domain, {'state': state}
        )

    @rule(name=names)
    def record_restart(self, name):
        scheduler = self.virtual.fleets[name].scheduler
        if 'u0' in scheduler.upstreams:
            signals_of(scheduler, 'u0')['restarts'] += 1

    @invariant()
    def cold_windows_are_kept(self):
        if not hasattr(self, 'virtual'):
            return
        now_s = self.virtual.clock.state['now_s']
        for upstream in ('u0', 'u1', 'u2'):
            amounts = [
                amount
                for name, amount in leased_by_vm(self.virtual, upstream).items()
                if self.virtual.states[name]['paused_until_s'] <= now_s
            ]
            assert sum(amounts) <= COLD_WINDOW

    @invariant()
    def configuration_never_reverts(self):
        if not hasattr(self, 'virtual'):
            return
        for name, fleet in self.virtual.fleets.items():
            revision = fleet.configuration.progress['revision']
            assert revision >= self.revisions.get(name, 0)
            self.revisions[name] = revision

    def teardown(self):
        """Check that all VMs agree with the store after the faults end."""
        if not hasattr(self, 'virtual'):
            return
        self.heal()
        self.set_store_faults(down=False, lost=0)
        self.set_link_faults(loss=0.0, delay_s=0.0015)
        run_for(self.virtual, 25.0)
        shard_map = read_object(self.virtual.platform, 'shard_map', 'fleet')
        for fleet in self.virtual.fleets.values():
            version = fleet.members.state['shard_map'].version
            assert version == shard_map.version
            for domain in DOMAINS:
                stored = read_object(
                    self.virtual.platform, 'failure_domain', domain
                )
                is_out = bool(stored.spec) and stored.spec['state'] == 'out'
                assert (domain in fleet.scheduler.domains_out) is is_out


TestFleetSoak = FleetMachine.TestCase
