"""
Request bodies
~~~~~~~~~~~~~~

Checks the JSON body of a caller's request. Every fault is a typed error that
names the field; text of the prompt never appears in it.
"""

import re
import uuid
from typing import NamedTuple

import pydantic
import xxhash

from bergamotstream import errors, records, tokenizer

MAX_OUTPUT_TOKENS = 32_768
# The longest deadline; a graceful stop waits this long for open requests.
MAX_DEADLINE_MS = 600_000
MAX_NAME_CHARACTERS = 128
# Retention allows for clocks that differ by two minutes.
MAX_CLOCK_SKEW_MS = 120_000
_KEY_PATTERN = re.compile(r'(\d{1,15})-(\S{1,200})')


class RequestBody(pydantic.BaseModel, strict=True, extra='forbid'):
    """The body of a request; durations in ms, sizes in tokens."""

    workspace: str
    service: str
    prompt: str
    max_output_tokens: int
    deadline_ms: int
    prompt_tokens: int | None = None
    request_id: str | None = None
    idempotency_key: str = ''
    stream: bool = True


class ParsedRequest(NamedTuple):
    """A checked request."""

    request: records.RequestSpec
    prompt: str
    deadline_ms: int
    stream: bool


def parse_request(
    received: bytes, wall_ms: int, request_id: str = ''
) -> ParsedRequest:
    """Check a body; ``request_id`` comes from the path of a resume.

    ``prompt_tokens`` may state a count for synthetic text: at least the count
    of the text, at most 1,000,000. Raises ``invalid_request``,
    ``deadline_passed``, ``prompt_too_long`` or ``key_expired``.
    """
    try:
        body = RequestBody.model_validate_json(received)
    except pydantic.ValidationError as fault:
        raise errors.InvalidRequest(_describe_errors(fault)) from None
    _check_names(body)
    _check_sizes(body)
    prompt_tokens = _prompt_tokens(body)
    return ParsedRequest(
        _request_spec(body, prompt_tokens, wall_ms, request_id),
        body.prompt,
        body.deadline_ms,
        body.stream,
    )


def key_age_ms(key: str, wall_ms: int) -> int:
    """Return the age of an idempotency key ``<unix ms>-<text>``.

    Raises ``invalid_request`` for another form or a key from the future.
    """
    match = _KEY_PATTERN.fullmatch(key)
    if match is None:
        raise errors.InvalidRequest(
            'idempotency_key: must be <unix ms>-<text of 1 to 200 characters>'
        )
    age_ms = wall_ms - int(match.group(1))
    if age_ms < -MAX_CLOCK_SKEW_MS:
        raise errors.InvalidRequest('idempotency_key: its time is to come')
    return max(age_ms, 0)


def _describe_errors(fault: pydantic.ValidationError) -> str:
    lines = []
    for entry in fault.errors(include_input=False, include_url=False):
        field = '.'.join(str(part) for part in entry['loc']) or 'body'
        lines.append(f'{field}: {entry["msg"]}')
    return '; '.join(lines)


def _check_names(body: RequestBody) -> None:
    names = {
        'workspace': body.workspace,
        'service': body.service,
        'request_id': body.request_id or '-',
    }
    for field, name in names.items():
        if not 0 < len(name) <= MAX_NAME_CHARACTERS:
            raise errors.InvalidRequest(f'{field}: must have 1 to 128 letters')


def _check_sizes(body: RequestBody) -> None:
    if not body.prompt:
        raise errors.InvalidRequest('prompt: must not be empty')
    if not 0 < body.max_output_tokens <= MAX_OUTPUT_TOKENS:
        raise errors.InvalidRequest('max_output_tokens: must be 1 to 32768')
    if body.deadline_ms <= 0:
        raise errors.DeadlinePassed('deadline_ms: no time is left')
    if body.deadline_ms > MAX_DEADLINE_MS:
        raise errors.InvalidRequest('deadline_ms: at most 600000')


def _prompt_tokens(body: RequestBody) -> int:
    counted = tokenizer.count_tokens(body.prompt)
    stated = counted if body.prompt_tokens is None else body.prompt_tokens
    if max(counted, stated) > records.MAX_PROMPT_TOKENS:
        raise errors.PromptTooLong(f'{max(counted, stated)} prompt tokens')
    if stated < counted:
        raise errors.InvalidRequest(
            f'prompt_tokens: the text alone has {counted}'
        )
    return stated


def _request_spec(
    body: RequestBody, prompt_tokens: int, wall_ms: int, request_id: str
) -> records.RequestSpec:
    key = body.idempotency_key
    prompt = body.prompt
    digest_input = '\n'.join(
        (
            body.service,
            str(prompt_tokens),
            str(body.max_output_tokens),
            prompt,
        )
    )
    return records.RequestSpec(
        request_id=request_id or body.request_id or uuid.uuid4().hex,
        workspace=body.workspace,
        service=body.service,
        prompt_tokens=prompt_tokens,
        max_output_tokens=body.max_output_tokens,
        fingerprint=tokenizer.fingerprint(body.service, prompt),
        body_digest=xxhash.xxh64_intdigest(digest_input.encode()),
        prefix_hashes=tokenizer.prefix_hashes(prompt, prompt_tokens),
        idempotency_key=key,
        key_age_ms=key_age_ms(key, wall_ms) if key else 0,
    )
