"""
Response heads
~~~~~~~~~~~~~~

Decides whether what the HTTP library has parsed is the head of a response. Its
parsers, one in C and one in Python, accept more than RFC 9110 and RFC 9112 do,
and each other things.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

import aiohttp

# Codes outside of this range are invalid (RFC 9110, section 15).
STATUS_RANGE: Final = range(100, 600)
# No request of this project asks for another protocol.
SWITCHING_PROTOCOLS: Final = 101
# Statuses of heads that the head of the final response follows.
INTERIM_STATUSES: Final = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}
# Of the bytes received, in a log line.
MAX_SHOWN_BYTES: Final = 64


class InvalidHead(aiohttp.ClientError):
    """Bytes that are no response; the request may have run."""

    def __init__(self, rule: str, shown: str) -> None:
        """Keep the rule that they break, and their printable start."""
        super().__init__(f'{rule}: {shown}')
        self.rule = rule
        self.shown = shown


class ReceivedHead(NamedTuple):
    """A head as it was parsed, and the bytes received first."""

    message: aiohttp.http.RawResponseMessage
    start: bytes


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
def status(head: ReceivedHead) -> bool:
    """Tell whether the status is one that may answer a request."""
    code = head.message.code
    return code in STATUS_RANGE and code != SWITCHING_PROTOCOLS
