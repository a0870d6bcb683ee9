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


def frame(content: bytes) -> bytes:
    """Return the frame of a content."""
    return len(content).to_bytes(LENGTH_BYTES, 'big') + content


async def read_frame(
    reader: asyncio.StreamReader, limit_bytes: int, timeout_ms: int
) -> bytes:
    """Return the content of the next frame.

    Raises :class:`errors.InvalidMessage` if it is longer than
    ``limit_bytes``, ``TimeoutError`` if it is not complete in
    ``timeout_ms`` and ``EOFError`` if the connection ends.
    """
    async with asyncio.timeout(timeout_ms / MS_PER_S):
        header = await reader.readexactly(LENGTH_BYTES)
        length = int.from_bytes(header, 'big')
        if length > limit_bytes:
            raise errors.InvalidMessage(
                f'frame of {length} bytes exceeds the limit of {limit_bytes}'
            )
        return await reader.readexactly(length)
