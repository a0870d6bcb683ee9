"""
Caller format
~~~~~~~~~~~~~

Parses the headers of callers' requests and builds the headers of requests to
targets.
"""

import re
from collections.abc import Iterable
from typing import Final

import multidict

from bergamotstream.forwarding import exchangerecords
from bergamotstream.platform import protocol

# Priorities on the wire range from 0, the most urgent, to 9.
LOWEST_PRIORITY: Final = 9
# Larger counts are used as this one; two of them fit into a message to peers.
MAX_COUNT: Final = (1 << 31) - 1
# What states that a request did not run: the header, or that a 421 comes from
# another target than the one that the request names.
NOT_EXECUTED: Final = 'not_executed'
OTHER_INSTANCE: Final = 'other_instance'
_ABSOLUTE_FORM: Final = re.compile('[a-z]+://(?P<authority>[^/?]+)', re.I)


def parse_request(
    method: str, target: str, headers: multidict.CIMultiDictProxy[str]
) -> exchangerecords.CallerRequest:
    """Return the request without its body."""
    authority, target = _split_target(target)
    if authority:
        headers = _with_host(headers, authority)
    counts = headers.get(protocol.TOKEN_COUNTS, '').split(',')
    prompt_tokens, answer_tokens = [
        _parse_count(counts[position]) if position < len(counts) else 0
        for position in (0, 1)
    ]
    return exchangerecords.CallerRequest(
        attempt_id=headers.get(protocol.ATTEMPT_ID, ''),
        method=method,
        target=target,
        host_name=_host_name(headers.get('Host', '')),
        keys=tuple(headers.getall(protocol.API_KEY, ())),
        deadline_ms=_parse_count(headers.get(protocol.DEADLINE_MS, '')) or None,
        prompt_tokens=prompt_tokens,
        prompt_parts=tuple(_part_ids(headers)),
        max_answer_tokens=answer_tokens,
        length_hint=_parse_count(headers.get(protocol.LENGTH_HINT, '')),
        last_event_id=headers.get(protocol.LAST_EVENT_ID, ''),
        headers=tuple(_end_to_end_headers(headers)),
    )


def target_headers(
    job: exchangerecords.Job,
    assignment: exchangerecords.Assignment,
    timeout_ms: int,
    last_event_id: str,
) -> multidict.CIMultiDict[str]:
    """Return the headers of one try; ``timeout_ms`` is its time limit."""
    headers = multidict.CIMultiDict(job.request.headers)
    headers[protocol.DEADLINE_MS] = str(max(timeout_ms, 1))
    headers[protocol.EXPECT_INSTANCE] = assignment.target.target_id
    if job.workspace is not None:
        headers[protocol.WORKSPACE] = job.workspace.name
    if last_event_id:
        headers[protocol.LAST_EVENT_ID] = last_event_id
    if job.generation is not None:
        headers[protocol.REQUEST_PRIORITY] = str(
            min(max(job.priority, 0), LOWEST_PRIORITY)
        )
    helpers = ','.join(_helper_addresses(assignment))
    if helpers:
        headers[protocol.HELPERS] = helpers
    return headers


def _helper_addresses(assignment: exchangerecords.Assignment) -> Iterable[str]:
    """Yield ``address`` or ``address/ticket`` of each helper."""
    tickets_by_target = {
        entry.target.target_id: entry.ticket
        for entry in assignment.reservations
    }
    for entry in assignment.helpers:
        ticket = tickets_by_target.get(entry.target_id)
        yield f'{entry.address}/{ticket}' if ticket else entry.address


def answer_headers(
    headers: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Return a target's headers without the hop-by-hop ones."""
    dropped = _hop_by_hop_headers(headers) - {'content-length'}
    return multidict.CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in dropped
    )


def not_run_statement(
    status: int, headers: multidict.CIMultiDictProxy[str], target_id: str
) -> str:
    """Return what states that a request to a target did not run, or ''."""
    if protocol.NOT_EXECUTED in headers:
        return NOT_EXECUTED
    named = headers.getall(protocol.INSTANCE_ID, [])
    if status == protocol.MISDIRECTED and named and target_id not in named:
        return OTHER_INSTANCE
    return ''


def says_leaving(headers: multidict.CIMultiDictProxy[str]) -> bool:
    """Tell whether an answer says that its target leaves."""
    return any(
        text.strip() == protocol.LEAVING_TEXT
        for text in headers.getall(protocol.SERVER_LEAVING, ())
    )


def _end_to_end_headers(
    headers: multidict.CIMultiDictProxy[str],
) -> Iterable[tuple[str, str]]:
    dropped = _hop_by_hop_headers(headers) | protocol.SYSTEM_HEADERS
    for name, text in headers.items():
        if name.lower() not in dropped:
            yield name, text


def _hop_by_hop_headers(headers: multidict.CIMultiDictProxy[str]) -> set[str]:
    """Return the hop-by-hop headers, also those that ``Connection`` lists.

    A caller cannot remove headers that identify a request in this way.
    """
    connection_options = ','.join(headers.getall('Connection', ())).lower()
    return {
        *protocol.HOP_BY_HOP_HEADERS,
        *(
            name
            for name in map(str.strip, connection_options.split(','))
            if not name.startswith(protocol.END_TO_END_PREFIXES)
        ),
    }


def _split_target(target: str) -> tuple[str, str]:
    """Return authority and path of a target, which may be in absolute form.

    The authority is empty for the usual form, where ``Host`` names it.
    """
    absolute = _ABSOLUTE_FORM.match(target)
    if absolute is None:
        return '', target
    rest = target[absolute.end() :]
    return absolute['authority'], rest if rest[:1] == '/' else f'/{rest}'


def _with_host(
    headers: multidict.CIMultiDictProxy[str], authority: str
) -> multidict.CIMultiDictProxy[str]:
    """Return the headers with the host of the target, which goes first."""
    replaced = multidict.CIMultiDict(headers)
    replaced['Host'] = authority
    return multidict.CIMultiDictProxy(replaced)


def _host_name(text: str) -> str:
    return text.partition(':')[0].lower()


def _part_ids(headers: multidict.CIMultiDictProxy[str]) -> Iterable[str]:
    """Yield the ids of ``ID:TOKENS`` entries; ids are hexadecimal."""
    for listed in headers.getall(protocol.PROMPT_PREFIX, ()):
        for entry in listed.split(','):
            part_id = entry.partition(':')[0].strip().lower()
            if part_id:
                yield part_id


def _parse_count(text: str) -> int:
    """Return a decimal integer up to ``MAX_COUNT``, 0 for other text."""
    text = text.strip()
    if not (text.isascii() and text.isdecimal()):
        return 0
    digits = text.lstrip('0')
    if len(digits) > len(str(MAX_COUNT)):
        return MAX_COUNT
    return min(int(digits or '0'), MAX_COUNT)
