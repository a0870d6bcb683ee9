"""
Response heads
~~~~~~~~~~~~~~

Decides whether what the HTTP library has parsed is the head of a valid response.
The library's parsers, one in C and one in Python, accept more than RFC 9110 and
RFC 9112 allow, and differ in what they accept.
"""

import re
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

import aiohttp

# RFC 9110, section 15.
STATUS_RANGE: Final = range(100, 600)
# Invalid here, as no request of this project asks for another protocol.
SWITCHING_PROTOCOLS: Final = 101
# Statuses of heads that the head of the final response follows.
INTERIM_STATUSES: Final = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}
# Received bytes that are kept for rules that need more than the parsed head.
MAX_START_BYTES: Final = 8_192
# Received bytes in a log line.
MAX_SHOWN_BYTES: Final = 64
# RFC 9110, section 5.6.2.
_TOKEN: Final = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# Bytes that no value may contain (RFC 9110, section 5.5).
_CONTROL: Final = re.compile(rb'[\0-\x08\x0a-\x1f\x7f]')
# RFC 9112, section 4. Blank lines may precede it, and a line feed alone may end
# a line.
_STATUS_LINE: Final = re.compile(
    rb'(?:\r?\n)*HTTP/1\.[0-9] [0-9]{3}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n'
)
# Whitespace before the first field name.
_INDENTED_FIELD: Final = re.compile(rb'(?:\r?\n)*[^\n]+\n[ \t]')


class InvalidHead(aiohttp.ClientError):
    """A response breaks a rule of the protocol; the request may have run."""

    def __init__(self, rule: str, shown: str) -> None:
        """Keep the name of the rule, and the first bytes in printable form."""
        super().__init__(f'{rule}: {shown}')
        self.rule = rule
        self.shown = shown


class ReceivedHead(NamedTuple):
    """A head as it was parsed, and the first bytes received."""

    message: aiohttp.http.RawResponseMessage
    # At most ``MAX_START_BYTES`` since the request.
    start: bytes
    # Whether these bytes begin the head, and not an earlier one.
    is_first: bool


Rule: TypeAlias = Callable[[ReceivedHead], bool]
_rules_by_name: dict[str, Rule] = {}


def _register(rule: Rule) -> Rule:
    """Add a rule, which tells whether a head keeps it, by its name."""
    _rules_by_name[rule.__name__] = rule
    return rule


def check(head: ReceivedHead) -> None:
    """Raise ``InvalidHead`` for a head that breaks a rule."""
    for name, is_kept in _rules_by_name.items():
        if not is_kept(head):
            raise InvalidHead(name, printable(head.start))


def printable(start: bytes) -> str:
    """Return the first bytes of a response, escaped where needed."""
    return repr(start[:MAX_SHOWN_BYTES])[2:-1]


@_register
def status_line(head: ReceivedHead) -> bool:
    """Tell whether the status line is one of HTTP/1.

    The C parser also accepts RTSP and ICE, and both accept other versions and
    control bytes in the reason.
    """
    if head.message.version.major != 1:
        return False
    return not head.is_first or bool(_STATUS_LINE.match(head.start))


@_register
def status(head: ReceivedHead) -> bool:
    """Tell whether the status is one that may answer a request."""
    code = head.message.code
    return code in STATUS_RANGE and code != SWITCHING_PROTOCOLS


@_register
def field_name(head: ReceivedHead) -> bool:
    """Tell whether all names are tokens.

    The C parser accepts spaces after the names that it knows, and drops those
    before the first name.
    """
    if head.is_first and _INDENTED_FIELD.match(head.start):
        return False
    return all(_TOKEN.fullmatch(name) for name, _ in head.message.raw_headers)


@_register
def field_value(head: ReceivedHead) -> bool:
    """Tell whether no value contains a control byte other than a tab.

    The library refuses to send such a value on to a caller.
    """
    return not any(
        _CONTROL.search(text) for _, text in head.message.raw_headers
    )


@_register
def framing(head: ReceivedHead) -> bool:
    """Tell whether the end of the body is certain (RFC 9112, section 6).

    No request accepts a transfer coding other than ``chunked``. The library
    reads a body with another one until the connection ends.
    """
    lengths = _values_of(head, b'content-length')
    codings = _values_of(head, b'transfer-encoding')
    message = head.message
    if codings:
        is_known = codings == [b'chunked'] and not lengths
        return is_known and message.version >= aiohttp.HttpVersion11
    return len(lengths) <= 1


def _values_of(head: ReceivedHead, lower_name: bytes) -> list[bytes]:
    return [
        text.strip(b' \t').lower()
        for name, text in head.message.raw_headers
        if name.lower() == lower_name
    ]
