"""
Link tasks
~~~~~~~~~~

The tasks at both ends of a connection between hosts. The sender writes frames
and expects an empty frame as the acknowledgement of each; the receiver reads
them. An answer that is not empty is a refusal in plain text, which hosts of
every protocol version understand.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from absl import logging

from bergamotstream import (
    errors,
    events,
    framing,
    logs,
    outbox,
    records,
    settings,
    wire,
)

CONNECT_TIMEOUT_S = 0.5
MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 1.0
# A link that fails is closed instead of reconnected when nothing was queued for
# it for this long.
IDLE_TIMEOUT_S = 30.0
# Empty frames per silence timeout (``link_silent_ms``).
KEEP_ALIVES_PER_TIMEOUT = 2
MAX_REFUSAL_BYTES = 512

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class PeerRefusedError(Exception):
    """The peer does not accept what this host sends."""


# ValueError: the address of the peer is not of the form ip:port.
LINK_FAULTS = (OSError, EOFError, ValueError, PeerRefusedError)


class LinkSender:
    """Keeps one connection to a peer open and writes its outbox to it."""

    def __init__(
        self,
        config: settings.Settings,
        host: records.HostInfo,
        queue: outbox.Outbox,
    ) -> None:
        """``queue`` holds the frames for ``host``."""
        self._timing = config.timing
        self._host = host
        self._outbox = queue
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
        self._last_fault = ''

    async def run(self) -> None:
        """Reconnect whenever the connection fails or goes silent."""
        while time.monotonic() - self._outbox.last_put_s < IDLE_TIMEOUT_S:
            try:
                await self._run_connection()
            except* LINK_FAULTS as group:
                self._log_fault(repr(_first_exception(group)))
            except* errors.InvalidMessage:
                self._log_fault('the answer is not a frame')
            # A task group drops a cancellation that coincides with a fault.
            if _is_cancelled():
                raise asyncio.CancelledError
            await asyncio.sleep(self._reconnect_delay_s)
            self._reconnect_delay_s = min(
                2 * self._reconnect_delay_s, MAX_RECONNECT_DELAY_S
            )

    async def _run_connection(self) -> None:
        async with _connect(self._host.peer_address) as (reader, writer):
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_answers(reader))
                await self._write_frames(writer)

    async def _write_frames(self, writer: asyncio.StreamWriter) -> None:
        # Longer than the heartbeat interval, so that an idle link carries no
        # empty frames in addition to its heartbeats.
        interval_ms = self._timing.link_silent_ms // KEEP_ALIVES_PER_TIMEOUT
        interval_s = interval_ms / framing.MS_PER_S
        while True:
            try:
                async with asyncio.timeout(interval_s):
                    payload = await self._outbox.get()
            except TimeoutError:
                payload = b''
            writer.write(framing.frame(payload))
            await writer.drain()

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        while True:
            refusal = await framing.read_frame(
                reader, MAX_REFUSAL_BYTES, self._timing.link_silent_ms
            )
            if refusal:
                self._reconnect_delay_s = MAX_RECONNECT_DELAY_S
                raise PeerRefusedError(refusal.decode(errors='replace'))
            self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
            self._last_fault = ''

    def _log_fault(self, fault: str) -> None:
        """Log a fault unless it repeats the last one since the link worked."""
        if fault != self._last_fault:
            self._last_fault = fault
            fields = {
                'peer': self._host.name,
                'address': self._host.peer_address,
                'fault': fault,
            }
            logging.warning('%s', logs.format_line('link_failed', fields))


class LinkReceiver:
    """Reads the frames of one connection that a peer opened."""

    def __init__(
        self,
        config: settings.Settings,
        deliver: Callable[[events.Event], Awaitable[None]],
    ) -> None:
        """``deliver`` may block, which applies backpressure to the peer."""
        self._config = config
        self._deliver = deliver
        self._silence_timeout_s = (
            config.timing.link_silent_ms / framing.MS_PER_S
        )

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read until the peer closes, goes silent or sends an invalid frame."""
        try:
            await self._read_frames(reader, writer)
        except errors.ServiceError as fault:
            logging.warning('event=link_refused fault=%s', fault)
            refusal = f'{fault.code}: {fault}'.encode()[:MAX_REFUSAL_BYTES]
            with contextlib.suppress(OSError):
                await self._write(writer, framing.frame(refusal))
            writer.close()
        except (OSError, EOFError):
            # The peer reconnects when it has more to send.
            return
        finally:
            await self._close(writer)

    async def _read_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit_bytes = self._config.limits.message_bytes
        silent_ms = self._config.timing.link_silent_ms
        while True:
            payload = await framing.read_frame(reader, limit_bytes, silent_ms)
            if payload:
                await self._receive(wire.decode(payload, limit_bytes))
            await self._write(writer, framing.EMPTY_FRAME)

    async def _receive(self, envelope: wire.Envelope) -> None:
        if envelope.cell != self._config.cell:
            # The address belonged to a host of another cell before.
            raise errors.InvalidMessage(
                f'{envelope.sender!r} is in cell {envelope.cell!r}, '
                f'this host is in {self._config.cell!r}'
            )
        await self._deliver(
            events.MessageReceived(envelope.sender, envelope.message)
        )

    async def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(frame)
        async with asyncio.timeout(self._silence_timeout_s):
            await writer.drain()

    async def _close(self, writer: asyncio.StreamWriter) -> None:
        """Flush a pending refusal, then abort the connection."""
        if writer.is_closing():
            with contextlib.suppress(OSError):
                async with asyncio.timeout(self._silence_timeout_s):
                    await writer.wait_closed()
        writer.transport.abort()


@contextlib.asynccontextmanager
async def _connect(peer_address: str) -> AsyncIterator[Streams]:
    """Open a connection; discard unsent bytes on exit."""
    address, port = framing.split_address(peer_address)
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            address, port, limit=framing.READ_BUFFER_BYTES
        )
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _first_exception(fault: BaseException) -> BaseException:
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    return fault
