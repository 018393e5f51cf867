"""Isolation of unexpected errors.

An error of the program over one request, message, upstream or stored object
ends the work on that one alone.  It is logged with its traceback and counted,
so that it does not stay hidden, and the VM goes on.  Tests run with fatal
invariants; there the error is raised again.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import logbook

from bluebellhub.invariants import are_violations_fatal

__all__ = ['isolate_fault', 'isolated_faults', 'report_fault']

isolated_faults: Final[Counter[str]] = Counter()

log = logbook.Logger('bluebellhub.faults')


def report_fault(error: Exception, work: str, **context: object) -> None:
    """Log and count an unexpected error that ends only one piece of work.

    ``work`` names the kind of work, and ``context`` tells which piece it was.
    Raises the error again while violated invariants are fatal.
    """
    isolated_faults[work] += 1
    log.error(
        'unexpected error; only this work ends',
        exc_info=(type(error), error, error.__traceback__),
        extra={'work': work, **context},
    )
    if are_violations_fatal():
        raise error


@contextmanager
def isolate_fault(work: str, **context: object) -> Iterator[None]:
    """Let an unexpected error end the block, but nothing around it.

    >>> with isolate_fault('message', sender='hub-2'):
    ...     pass
    >>> isolated_faults
    Counter()
    """
    try:
        yield
    except Exception as error:
        report_fault(error, work, **context)
