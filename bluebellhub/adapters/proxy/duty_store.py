"""Takes the steps of the lease of the duties: calls of the store."""

from collections.abc import Awaitable, Callable
from typing import Any

import logbook

from bluebellhub.clock import now_s
from bluebellhub.duty import (
    Acquire,
    Duty,
    Read,
    Release,
    Renew,
    Step,
    Write,
    apply_conflict,
    apply_entry,
    apply_read_failure,
    apply_unknown,
    apply_written,
)
from bluebellhub.errors import StoreError
from bluebellhub.platform.duty_object import read_duty, write_duty
from bluebellhub.platform.store_calls import Store
from bluebellhub.registry import Registry, make_registry

__all__ = ['run_step']

StepTaker = Callable[[Duty, Store, Any], Awaitable[None]]

step_takers: Registry[StepTaker] = make_registry('step of the duties')

log = logbook.Logger('bluebellhub.duties')


async def run_step(duty: Duty, store: Store, step: Step) -> None:
    """Call the store and apply its response."""
    await step_takers.find(type(step).__name__)(duty, store, step)


@step_takers.register(Read.__name__)
async def _read(duty: Duty, store: Store, step: Read) -> None:
    try:
        found = await read_duty(store)
    except StoreError as error:
        log.info('duty object not read', extra={'cause': str(error)})
        apply_read_failure(duty, now_s())
        return
    apply_entry(duty, found, now_s())


@step_takers.register(Acquire.__name__)
@step_takers.register(Renew.__name__)
@step_takers.register(Release.__name__)
async def _write(duty: Duty, store: Store, write: Write) -> None:
    sent_at_s = now_s()
    kind = type(write).__name__
    try:
        written = await write_duty(store, write.entry, write.found.revision)
    except StoreError as error:
        log.info(
            'write of the duty object without response',
            extra={'write': kind, 'cause': str(error)},
        )
        apply_unknown(duty, write, sent_at_s, now_s())
        return
    if written.is_conflict or written.found is None:
        log.info('duty object written by another', extra={'write': kind})
        apply_conflict(duty, written.found, now_s())
        return
    apply_written(duty, write, written.found, sent_at_s, now_s())
