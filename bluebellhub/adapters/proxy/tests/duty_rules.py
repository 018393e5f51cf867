"""Rules that all calls of the duties keep, checked at the cloud API."""

from itertools import pairwise

__all__ = ['broken_rules', 'store_calls_per_min']

MINUTE_S = 60.0


def broken_rules(fleet):
    """Return the names of the rules that are broken."""
    return [name for name, holds in RULES.items() if not holds(fleet)]


def _tokens_are_of_one_vm(fleet):
    holders = {}
    for call in fleet.calls:
        holders.setdefault(call.token, set()).add(call.holder)
    return all(len(names) == 1 for names in holders.values())


def _windows_have_one_set_of_counts(fleet):
    counts = {}
    for call in fleet.calls:
        if call.path == 'usage':
            stated = str(sorted(call.body['counts'].items()))
            counts.setdefault(call.body['window'], set()).add(stated)
    return all(len(stated) == 1 for stated in counts.values())


def _holders_do_not_alternate(fleet):
    last_by_holder = {}
    for before, call in pairwise(fleet.calls):
        last_by_holder[before.holder] = before.at_s
        if call.holder == before.holder:
            continue
        last_s = last_by_holder.get(call.holder, 0.0)
        if call.at_s - last_s < fleet.bounds.lease_s:
            return False
    return True


def _tokens_do_not_fall(fleet):
    if fleet.bounds.is_fenced:
        return True
    return all(
        before.token <= call.token
        for calls in (fleet.calls, fleet.executed)
        for before, call in pairwise(calls)
    )


def _refused_tokens_are_not_used(fleet):
    return not any(
        (call.holder, call.token) == (refused.holder, refused.token)
        and call.at_s > refused.at_s
        for refused in fleet.refused
        for call in fleet.calls
    )


RULES = {
    'one_vm_for_each_token': _tokens_are_of_one_vm,
    'one_set_of_counts_for_each_window': _windows_have_one_set_of_counts,
    'holders_do_not_alternate': _holders_do_not_alternate,
    'tokens_do_not_fall': _tokens_do_not_fall,
    'refused_tokens_are_not_used': _refused_tokens_are_not_used,
}


def store_calls_per_min(fleet, from_s, to_s):
    """Return the calls of the store in the minute with the most."""
    times = [at_s for at_s, _, _ in fleet.store_calls if from_s <= at_s <= to_s]
    return max(
        sum(begin <= at_s < begin + MINUTE_S for at_s in times)
        for begin in times or [from_s]
    )
