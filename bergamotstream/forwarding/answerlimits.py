"""
Answer limits
~~~~~~~~~~~~~

What one answer of a target may hold. A faulty target may send bytes that are
no answer, in a head or a body, until its connection is closed.
"""

from typing import Final

# Bytes received before the head of an answer is complete. The HTTP library skips
# blank lines before a head, so its own limits do not count them.
MAX_HEAD_BYTES: Final = 1_048_576
# By how much chunk sizes, extensions and trailers may exceed the body. The HTTP
# library keeps trailers until they are complete.
MAX_FRAMING_BYTES: Final = 65_536
# An answer that is passed on as a whole.
MAX_BUFFERED_BYTES: Final = 8_388_608
# Larger than any event that a model engine sends.
MAX_EVENT_BYTES: Final = 1_048_576
# Blocks of a stream without data or id, such as comments, since the last event
# that had one. Keep-alive comments come a few times a second at most.
MAX_EMPTY_BLOCKS: Final = 4_096
MAX_EMPTY_BYTES: Final = 262_144


class LimitExceeded(ValueError):
    """An answer exceeds a limit; the target keeps sending."""

    def __init__(self, limit: str, received: int, allowed: int) -> None:
        """Record the name of the limit, and both figures in its unit."""
        super().__init__(f'{limit}: {received}, at most {allowed}')
        self.limit = limit
        self.received = received
        self.allowed = allowed


def check(limit: str, received: int, allowed: int) -> None:
    """Raise ``LimitExceeded`` for more than is allowed."""
    if received > allowed:
        raise LimitExceeded(limit, received, allowed)
