"""
Continuations
~~~~~~~~~~~~~

Decides whether the answer of a target goes on where the stream of a caller
broke off. Only the joint is checked, the first event that does not come from
the same try as the one before it. Within a try the target decides.
"""

import collections
import re
from typing import Final, NamedTuple

from bergamotstream.forwarding import relayedevents

NO_CONTENT: Final = 204
# Ids that are remembered where their order does not tell a repeat.
MAX_REMEMBERED_IDS: Final = 256
# Longer numbers are compared as text.
MAX_DIGITS: Final = 18
MAX_SHOWN_CHARACTERS: Final = 64
_COMMENT_OR_BLANK: Final = re.compile(rb'(?::[^\r\n]*+|[\r\n])*+')


class WrongContinuation(ValueError):
    """What a target sends does not follow what its caller has got."""


class Head(NamedTuple):
    """What the answers of all tries of one stream have in common."""

    status: int
    media_type: str


class PassedEvents:
    """What the caller of one request has got of its stream."""

    def __init__(self) -> None:
        """Start with nothing passed on."""
        # The first head that was passed on.
        self.head: Head | None = None
        # The try that passed on the last event.
        self.last_try: Continuation | None = None
        self.count = 0
        self.last_id = ''
        # Whether the last event had an id. A target can't be asked to go on
        # after one that had none.
        self.is_last_named = False
        self.order = NumericOrder()
        self._remembered: collections.deque[int] = collections.deque(
            maxlen=MAX_REMEMBERED_IDS
        )
        self._first = 0

    def record(self, event: relayedevents.RelayedEvent) -> None:
        """Record an event; a block without id or data has no place."""
        if not relayedevents.has_place(event):
            return
        self.count += 1
        self.is_last_named = bool(event.event_id)
        if self.is_last_named:
            self.last_id = event.event_id
            self.order.record(event.event_id)
            self._remembered.append(hash(event.event_id))
            self._first = self._first or hash(event.event_id)

    def is_repeated(self, event_id: str) -> bool:
        """Tell whether an id is the first or one of the last passed on."""
        digest = hash(event_id)
        return digest == self._first or digest in self._remembered

    def has_all_tokens(self, max_answer_tokens: int) -> bool:
        """Tell whether no further event can follow.

        An event holds one token at least, and may hold many.
        """
        return 0 < max_answer_tokens <= self.count


class NumericOrder:
    """The order of ids that are rising numbers."""

    def __init__(self) -> None:
        """Start with no id."""
        self._last: int | None = None
        self._steps: tuple[int, int] | None = None
        self._is_rising = True

    def record(self, event_id: str) -> None:
        """Record the id of the next event."""
        number = _number_of(event_id)
        if number is None or number <= self._last_or(-1):
            self._is_rising = False
        if not self._is_rising or number is None:
            return
        if self._last is not None:
            step = number - self._last
            least, largest = self._steps or (step, step)
            self._steps = (min(least, step), max(largest, step))
        self._last = number

    @property
    def is_known(self) -> bool:
        """Tell whether all ids so far were rising numbers."""
        return self._is_rising and self._last is not None

    def fault_of(self, event_id: str) -> str:
        """Return what is wrong with an id after the last one, if anything."""
        number = _number_of(event_id)
        last = self._last_or(0)
        if number is None:
            return 'is no number'
        if number <= last:
            return 'repeats events'
        longest_step = self._longest_step(last)
        if longest_step is not None and number - last > longest_step:
            return 'skips events'
        return ''

    def _longest_step(self, last: int) -> int | None:
        """Return the longest step without a gap; ``None`` if unknown.

        A shorter one is no gap: ids may count tokens, and the last event holds
        fewer of them. Where steps differ, no gap can be told.
        """
        if self._steps is None:
            # A single id is compared with the start, before the first event.
            return max(last, 1)
        least, largest = self._steps
        return largest if least == largest else None

    def _last_or(self, default: int) -> int:
        return default if self._last is None else self._last


class Continuation:
    """One try of a request, held against what its caller has got.

    Call :meth:`check_head` first, :meth:`check` for each event before it is
    passed on, :meth:`record` after that, and :meth:`check_end` at the end of
    the target's stream. The checks raise :class:`WrongContinuation`.
    """

    def __init__(self, passed: PassedEvents, head: Head) -> None:
        """Hold a try with the answer ``head`` against ``passed``."""
        self._passed = passed
        self._head = head

    @property
    def has_joined(self) -> bool:
        """Tell whether the last event passed on is one of this try."""
        return self._passed.last_try is self

    def check_head(self, max_answer_tokens: int) -> None:
        """Raise unless the answer has the head that the caller has got."""
        first = self._passed.head
        if first is None or first == self._head:
            return
        is_complete = self._passed.has_all_tokens(max_answer_tokens)
        if self._head.status == NO_CONTENT and is_complete:
            return
        raise WrongContinuation(
            f'{self._head.status} with {self._head.media_type} '
            + f'after {first.status} with {first.media_type}'
        )

    def check(self, event: relayedevents.RelayedEvent) -> None:
        """Raise unless an event follows the last one passed on."""
        if is_comment(event) or self.has_joined or not self._passed.count:
            return
        fault = self._fault_of(event.event_id)
        if fault:
            raise WrongContinuation(
                f'event {_shown(event.event_id)} {fault} '
                + f'after {_shown(self._passed.last_id)}'
            )

    def record(self, event: relayedevents.RelayedEvent) -> None:
        """Record an event that was passed on."""
        self._passed.head = self._passed.head or self._head
        count = self._passed.count
        self._passed.record(event)
        if self._passed.count > count:
            self._passed.last_try = self

    def check_end(self, max_answer_tokens: int) -> None:
        """Raise if the stream may end before its last event.

        A target that has nothing to send after an event may have come to the
        end, or may know nothing of the stream.
        """
        if self.has_joined or not self._passed.count:
            return
        if not self._passed.has_all_tokens(max_answer_tokens):
            raise WrongContinuation(
                f'ended without an event after {_shown(self._passed.last_id)}'
            )

    def _fault_of(self, event_id: str) -> str:
        if not self._passed.is_last_named:
            return 'may repeat events without an id'
        if not event_id:
            return 'has no id'
        if self._passed.order.is_known:
            return self._passed.order.fault_of(event_id)
        return 'repeats an event' if self._passed.is_repeated(event_id) else ''


def is_comment(event: relayedevents.RelayedEvent) -> bool:
    """Tell whether a block holds nothing but comments."""
    return _COMMENT_OR_BLANK.fullmatch(event.encoded) is not None


def _number_of(event_id: str) -> int | None:
    is_number = event_id.isascii() and event_id.isdecimal()
    return int(event_id) if is_number and len(event_id) <= MAX_DIGITS else None


def _shown(event_id: str) -> str:
    return repr(event_id[:MAX_SHOWN_CHARACTERS])
