"""The chat completions encoding of requests, responses and errors."""

from collections.abc import Sequence
from typing import Annotated, Any, Final, NotRequired, TypedDict

import msgspec

from bluebellhub.adapters.prompt import estimate_tokens, hash_prefix
from bluebellhub.request.refusal import BadRequestError, RefusalError

__all__ = [
    'ChatBody',
    'cached_tokens',
    'engine_body',
    'error_body',
    'join_frames',
    'models_body',
    'parse_chat',
    'prompt_of',
]

DEFAULT_OUTPUT_TOKENS: Final = 256


class ChatMessage(TypedDict):
    """One message of a conversation."""

    role: str
    content: str


class ChatBody(TypedDict):
    """A chat completions request; other fields are forwarded unchanged."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: NotRequired[bool]
    max_tokens: NotRequired[Annotated[int, msgspec.Meta(ge=1)]]


class ErrorBody(TypedDict):
    """The JSON body of a refusal."""

    type: str
    message: str
    run: str
    retry_after_s: float | None


class TokenDetails(TypedDict):
    """Details of the prompt's tokens: those that the engine had cached."""

    cached_tokens: NotRequired[int]


class Usage(TypedDict):
    """Token counts of a response."""

    prompt_tokens_details: NotRequired[TokenDetails]


class UsageFrame(TypedDict):
    """The frame of a stream that holds the token counts."""

    usage: Usage


_chat_decoder = msgspec.json.Decoder(ChatBody)
_usage_decoder = msgspec.json.Decoder(UsageFrame)
_frame_decoder = msgspec.json.Decoder(dict[str, Any])


def parse_chat(body: bytes) -> ChatBody:
    """Decode a request body; raises `BadRequestError`."""
    try:
        return _chat_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadRequestError(f'body: {error}') from None


def engine_body(raw: bytes) -> bytes:
    """Return the request as sent to engines: streamed, with token counts.

    Fields that bluebellhub does not know are forwarded unchanged.
    """
    fields = _frame_decoder.decode(raw)
    fields['stream'] = True
    fields['stream_options'] = {'include_usage': True}
    return msgspec.json.encode(fields)


def prompt_of(body: ChatBody) -> bytes:
    """Return the messages as the bytes from which prefix hashes are made."""
    return b'\x00'.join(
        f'{message["role"]}:{message["content"]}'.encode()
        for message in body['messages']
    )


def analyze_prompt(body: ChatBody) -> tuple[int, tuple[int, ...]]:
    """Return the prompt's estimated token count and its prefix hashes."""
    prompt = prompt_of(body)
    return estimate_tokens(prompt), hash_prefix(prompt)


def cached_tokens(usage_frame: bytes) -> int | None:
    """Read the number of cached tokens from a usage frame.

    Returns ``None`` if the frame does not contain it.
    """
    _, _, payload = usage_frame.partition(b'data: ')
    try:
        usage = _usage_decoder.decode(payload)['usage']
    except msgspec.MsgspecError:
        return None
    details = usage.get('prompt_tokens_details')
    return details.get('cached_tokens') if details else None


def join_frames(
    frames: bytes, request_id: str, model: str, prompt_tokens: int
) -> bytes:
    """Join the frames of a streamed response into one completion.

    Token counts that the engine does not report are replaced by the estimate
    for the prompt and by the number of streamed choices.
    """
    texts = []
    usage: dict[str, Any] = {}
    for frame in frames.split(b'\n\n'):
        _, _, payload = frame.partition(b'data: ')
        if not payload or payload == b'[DONE]':
            continue
        event = _frame_decoder.decode(payload)
        usage = event.get('usage') or usage
        for choice in event.get('choices', ()):
            texts.append(choice.get('delta', {}).get('content') or '')
    message = {'role': 'assistant', 'content': ''.join(texts)}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return msgspec.json.encode(
        {
            'id': request_id,
            'object': 'chat.completion',
            'model': model,
            'choices': [choice],
            'usage': _complete_usage(usage, prompt_tokens, len(texts)),
        }
    )


def _complete_usage(
    reported: dict[str, Any], prompt_tokens: int, completion_tokens: int
) -> dict[str, Any]:
    """Return the token counts: those reported, else the given ones."""
    counts = {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': completion_tokens,
        **reported,
    }
    counts['total_tokens'] = (
        counts['prompt_tokens'] + counts['completion_tokens']
    )
    return counts


def models_body(models: Sequence[str]) -> bytes:
    """Encode the list of models that a contract names."""
    listed = [{'id': name, 'object': 'model'} for name in models]
    return msgspec.json.encode({'object': 'list', 'data': listed})


def error_body(error: RefusalError) -> bytes:
    """Encode a refusal as the body of an error response."""
    body: ErrorBody = {
        'type': error.reason,
        'message': str(error),
        'run': error.run,
        'retry_after_s': error.retry_after_s,
    }
    return msgspec.json.encode({'error': body})
