"""Which rows a watch prints after a change of the objects."""

import pytest

from bluebellhub.cli.watch import changed_rows

YARD = {'name': 'yard', 'version': 1}
MILL = {'name': 'mill', 'version': 4}


@pytest.mark.parametrize(
    ('before', 'after', 'printed'),
    [
        ([], [], []),
        ([], [YARD, MILL], [YARD, MILL]),
        ([YARD], [YARD], []),
        (
            [YARD, MILL],
            [{**YARD, 'version': 2}, MILL],
            [{**YARD, 'version': 2}],
        ),
        ([YARD, MILL], [MILL], [{'name': 'yard', 'state': 'deleted'}]),
        ([{'model': 'm', 'step': 1}], [], [{'model': 'm', 'state': 'deleted'}]),
    ],
)
def test_changed_rows_returns_only_changes(before, after, printed):
    previous = {}
    changed_rows(previous, before)
    assert changed_rows(previous, after) == printed
    assert not changed_rows(previous, after)
