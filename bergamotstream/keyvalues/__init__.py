"""
Key-value clients
~~~~~~~~~~~~~~~~~

Plug-ins for the protocol of the platform's key-value service. Each client
performs the key-value actions of the core and returns their answers.
"""

import abc
from typing import ClassVar

from bergamotstream import actions, events

KvAction = actions.KvRead | actions.KvWrite | actions.KvDelete | actions.KvWatch

_clients_by_name: dict[str, type['KeyValueClient']] = {}


class KeyValueClient(abc.ABC):
    """Base class of clients; ``aliases`` are further names for look-up."""

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Connect to ``url``; calls other than watches have the timeout."""
        self.url = url
        self.timeout_ms = timeout_ms

    @abc.abstractmethod
    async def perform(self, action: KvAction) -> events.KvAnswered:
        """Perform one action; never raises, faults become a status."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


def register(client: type[KeyValueClient]) -> type[KeyValueClient]:
    """Register a client class under its name and aliases."""
    for name in (client.name, *client.aliases):
        _clients_by_name[name] = client
    return client


def get_client_by_name(name: str) -> type[KeyValueClient]:
    """Return the client class; raises ``KeyError`` for an unknown name."""
    return _clients_by_name[name]
