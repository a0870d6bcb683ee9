"""
Batches of claims
~~~~~~~~~~~~~~~~~

What waits for a claim log: entries to write, messages to decide on, and how
the write of a batch can end.
"""

import enum
from typing import NamedTuple

from bergamotstream import claimformat, messages


class WriteResult(enum.Enum):
    """What is known after writing a segment.

    ``SEALED``: another owner has sealed the log. ``UNCERTAIN``: this host
    stopped trying while a lost write may still take effect.
    """

    WRITTEN = 'written'
    NOT_WRITTEN = 'not_written'
    SEALED = 'sealed'
    UNCERTAIN = 'uncertain'


class PendingEntry(NamedTuple):
    """An entry to write and the message to answer then."""

    entry: claimformat.Entry
    sender: str
    message: messages.ClaimRequest | messages.OutcomeReport
    since_ms: int


class DeferredMessage(NamedTuple):
    """A message to decide on when the log has been read back."""

    sender: str
    message: messages.ClaimRequest | messages.OutcomeReport
    since_ms: int


def is_old_claim(
    pending: PendingEntry | DeferredMessage, limit_ms: int
) -> bool:
    """Tell whether a claim has waited since ``limit_ms`` or before."""
    is_claim = isinstance(pending.message, messages.ClaimRequest)
    return is_claim and pending.since_ms <= limit_ms
