"""
Framing
~~~~~~~

Frames on the links between hosts: a length (4 bytes, big endian) and that
many bytes. A frame of length 0 is a keep-alive or its acknowledgement.
"""

import asyncio

from bergamotstream import errors

LENGTH_BYTES = 4
READ_BUFFER_BYTES = 65_536
EMPTY_FRAME = bytes(LENGTH_BYTES)
MS_PER_S = 1_000


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``; raises ``ValueError`` for anything else."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def frame(payload: bytes) -> bytes:
    """Return ``payload`` with its length prefix."""
    return len(payload).to_bytes(LENGTH_BYTES, 'big') + payload


async def read_frame(
    reader: asyncio.StreamReader, limit_bytes: int, timeout_ms: int
) -> bytes:
    """Return the payload of the next frame.

    Raises :class:`errors.InvalidMessage` if it is longer than
    ``limit_bytes``, ``TimeoutError`` if it is not complete within
    ``timeout_ms`` and ``EOFError`` if the connection closes.
    """
    async with asyncio.timeout(timeout_ms / MS_PER_S):
        header = await reader.readexactly(LENGTH_BYTES)
        length = int.from_bytes(header, 'big')
        if length > limit_bytes:
            raise errors.InvalidMessage(
                f'frame of {length} bytes exceeds the limit of {limit_bytes}'
            )
        return await reader.readexactly(length)
