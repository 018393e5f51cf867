"""Response bodies in the format of the chat completions API."""

import json

import pytest

from bluebellhub.adapters.chat import join_frames, models_body
from bluebellhub.adapters.prompt import (
    BLOCK_BYTES,
    hash_prefix,
    identify_prompt,
)

TOKEN = b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
DONE = b'data: [DONE]\n\n'


def _usage(fields):
    body = json.dumps({'choices': [], 'usage': fields}).encode()
    return b'data: %s\n\n' % body


@pytest.mark.parametrize(
    ('frames', 'expected'),
    [
        (TOKEN + TOKEN + DONE, (7, 2, 9)),
        (TOKEN + _usage({}) + DONE, (7, 1, 8)),
        (
            TOKEN
            + _usage({'prompt_tokens_details': {'cached_tokens': 64}})
            + DONE,
            (7, 1, 8),
        ),
        (
            TOKEN
            + _usage({'prompt_tokens': 30, 'completion_tokens': 4})
            + DONE,
            (30, 4, 34),
        ),
    ],
)
def test_join_frames_reports_token_counts(frames, expected):
    usage = json.loads(join_frames(frames, 'r', 'm', 7))['usage']
    names = ('prompt_tokens', 'completion_tokens', 'total_tokens')
    assert tuple(usage[name] for name in names) == expected


@pytest.mark.parametrize(
    ('models', 'ids'), [((), []), (('m', 'n'), ['m', 'n'])]
)
def test_models_body_lists_the_models(models, ids):
    body = json.loads(models_body(models))
    assert body['object'] == 'list'
    assert [model['id'] for model in body['data']] == ids


@pytest.mark.parametrize(
    ('first', 'second', 'are_equal'),
    [
        (b'a' * BLOCK_BYTES * 2, b'a' * BLOCK_BYTES * 2 + b'b', True),
        (b'a' * BLOCK_BYTES * 2, b'a' * BLOCK_BYTES, False),
        (b'a' * BLOCK_BYTES * 2, b'b' * BLOCK_BYTES * 2, False),
    ],
)
def test_prompt_is_identified_by_its_blocks(first, second, are_equal):
    ids = [identify_prompt(hash_prefix(prompt)) for prompt in (first, second)]
    assert (ids[0] == ids[1]) is are_equal
    assert not identify_prompt(hash_prefix(b'short'))
