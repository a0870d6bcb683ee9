"""
Batches of claims
~~~~~~~~~~~~~~~~~

Entries to write to a claim log, messages that are deferred until the log has
been read back, and the result of writing a batch.
"""

import enum
from typing import NamedTuple

from bergamotstream import claimformat, messages


class WriteResult(enum.Enum):
    """Result of writing a segment.

    ``SEALED``: another owner has sealed the log. ``UNCERTAIN``: this host
    stopped retrying, but a write without an answer may still take effect.
    """

    WRITTEN = 'written'
    NOT_WRITTEN = 'not_written'
    SEALED = 'sealed'
    UNCERTAIN = 'uncertain'


class PendingEntry(NamedTuple):
    """An entry to write and the message to answer afterwards."""

    entry: claimformat.Entry
    sender: str
    message: messages.ClaimRequest | messages.OutcomeReport
    since_ms: int


class DeferredMessage(NamedTuple):
    """A message to handle when the log has been read back."""

    sender: str
    message: messages.ClaimRequest | messages.OutcomeReport
    since_ms: int


def is_old_claim(
    pending: PendingEntry | DeferredMessage, limit_ms: int
) -> bool:
    """Return whether this is a claim received at or before ``limit_ms``."""
    is_claim = isinstance(pending.message, messages.ClaimRequest)
    return is_claim and pending.since_ms <= limit_ms
