"""
Peer links
~~~~~~~~~~

TCP links between the hosts of a cell. Each host sends over connections that
it opened and receives over connections that the peers opened, so that each
direction detects on its own when its connection has gone silent.
"""

import asyncio
from typing import NamedTuple

from absl import logging

from bergamotstream import (
    errors,
    events,
    framing,
    linktasks,
    messages,
    outbox,
    records,
    settings,
    wire,
)

MAX_INCOMING_CONNECTIONS = 32


class _Link(NamedTuple):
    """An outgoing link: its queue and the task that owns its socket."""

    address: str
    queue: outbox.Outbox
    task: asyncio.Task[None]


class PeerLinks:
    """Sends messages to peers and puts received ones into a queue."""

    def __init__(
        self,
        config: settings.Settings,
        incoming: asyncio.Queue[events.Event],
    ) -> None:
        """``incoming`` gets a ``MessageReceived`` for each message."""
        self._settings = config
        self._incoming = incoming
        self._links_by_host: dict[str, _Link] = {}
        self._receivers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._last_encoded: tuple[messages.Message | None, bytes] = (None, b'')

    async def start(self) -> None:
        """Listen on the peer address of the settings.

        Raises :class:`OSError` if the address cannot be used.
        """
        address, port = framing.split_address(self._settings.peer_address)
        self._server = await asyncio.start_server(
            self._accept,
            address,
            port,
            limit=framing.READ_BUFFER_BYTES,
        )

    def send(self, host: records.HostInfo, message: messages.Message) -> None:
        """Queue a message; never blocks.

        When the queue is full, the oldest heartbeat is dropped first.
        """
        link = self._links_by_host.get(host.name)
        if link and (link.address != host.peer_address or link.task.done()):
            link.task.cancel()
            link = None
        if link is None:
            link = self._open_link(host)
        frame = self._encode(message)
        if frame:
            link.queue.put(frame, isinstance(message, messages.Heartbeat))

    async def close(self) -> None:
        """Close all links and stop listening."""
        if self._server:
            self._server.close()
        tasks = [link.task for link in self._links_by_host.values()]
        tasks.extend(self._receivers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._links_by_host.clear()

    def _open_link(self, host: records.HostInfo) -> _Link:
        queue = outbox.Outbox()
        sender = linktasks.LinkSender(self._settings, host, queue)
        task = asyncio.create_task(sender.run(), name=f'link to {host.name}')
        link = _Link(host.peer_address, queue, task)
        self._links_by_host[host.name] = link
        return link

    def _encode(self, message: messages.Message) -> bytes:
        """Encode a message; the last one is cached, as peers share heartbeats."""
        if self._last_encoded[0] is not message:
            frame = b''
            try:
                frame = wire.encode(
                    self._settings.host,
                    self._settings.cell,
                    message,
                    self._settings.limits.message_bytes,
                )
            except errors.InvalidMessage as fault:
                logging.error('event=message_dropped fault=%s', fault)
            self._last_encoded = (message, frame)
        return self._last_encoded[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._receivers) >= MAX_INCOMING_CONNECTIONS:
            writer.close()
            return
        receiver = linktasks.LinkReceiver(self._settings, self._incoming.put)
        task = asyncio.create_task(receiver.run(reader, writer))
        self._receivers.add(task)
        task.add_done_callback(self._receivers.discard)
