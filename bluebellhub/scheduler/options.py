"""Which registered variants a scheduler uses."""

from typing import NamedTuple

__all__ = ['SchedulerOptions']


class SchedulerOptions(NamedTuple):
    """Names of the registered variants that a scheduler uses, and switches.

    ``policy`` is a routing policy, ``discipline`` a scheduling discipline
    and ``retry_budget`` a retry budget.  ``retry_share`` is the ratio of
    retries to requests.  With ``adapts_windows``, late first tokens shrink
    the window of an upstream.  With ``probes_silent``, an upstream that
    sends no byte in time is probed over a new connection.
    """

    policy: str = 'predicted'
    discipline: str = 'tiered'
    retry_share: float = 0.1
    retry_budget: str = 'credit'
    adapts_windows: bool = True
    probes_silent: bool = True
