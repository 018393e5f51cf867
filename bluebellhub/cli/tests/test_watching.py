"""Which rows a watch prints."""

import pytest

from bluebellhub.cli.watching import changed_rows

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
def test_only_changes_are_printed(before, after, printed):
    seen = {}
    changed_rows(seen, before)
    assert changed_rows(seen, after) == printed
    assert not changed_rows(seen, after)
