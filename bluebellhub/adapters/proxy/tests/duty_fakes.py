"""Small duties for tests: counts and orders that differ on each VM."""

from bluebellhub.duty import DutyKind, ScaleOrder, UsageOrder

__all__ = ['KINDS', 'LAST_SCALED_S']

WINDOW_S = 5.0
CURRENT_S = 20.0
# When the VMs ordered last, by their start.
LAST_SCALED_S: dict = {}


def _prepare_usage(proxy, reports, now_s):
    """Report each window with counts that differ on each VM and call."""
    ended = int(now_s // WINDOW_S) - 1
    window = max((report.window for report in reports), default=ended - 1) + 1
    if window > ended:
        return None
    window = max(window, ended - int(CURRENT_S // WINDOW_S))
    return UsageOrder(window, {proxy.site.vm: int(now_s * 10)})


def _prepare_scale(proxy, reports, now_s):
    """Order another count each second."""
    last_s = LAST_SCALED_S.get(proxy.site.start_id, 0.0)
    if now_s - last_s < 1.0:
        return None
    LAST_SCALED_S[proxy.site.start_id] = now_s
    return ScaleOrder('s', f'd{int(now_s) % 3}', int(now_s) % 7)


def _is_current(proxy, order, now_s):
    if isinstance(order, ScaleOrder):
        return True
    return now_s < (order.window + 1) * WINDOW_S + CURRENT_S


def _ended(proxy, order, outcome, now_s):
    """Nothing is to be recorded in these tests."""


KINDS = {
    'usage_report': DutyKind(_prepare_usage, _ended, _is_current),
    'autoscale': DutyKind(_prepare_scale, _ended, _is_current),
}
