"""
Engine clients
~~~~~~~~~~~~~~

Plug-ins for the protocols of targets, one for each kind of service. A client
runs attempts, reads load reports and cache events and sends orders. An
event tells the core how an attempt ended; its tokens go to a sink.
"""

import abc
from collections.abc import Callable, Mapping
from typing import Any, ClassVar, NamedTuple, Protocol

import aiohttp

from bergamotstream import (
    actions,
    events,
    logs,
    plugins,
    records,
    settings,
)

Emit = Callable[[events.Event], None]

MS_PER_S = 1_000
PROBE_TIMEOUT_S = 0.5

_clients_by_name: dict[str, type['EngineClient']] = {}


class AttemptFault(Exception):
    """An attempt failed; ``kind`` is a failure kind of the core."""

    def __init__(self, kind: events.FailureKind, code: str = '') -> None:
        """``code`` is the error code that the target returned, if any."""
        super().__init__(kind, code)
        self.kind = kind


class Sink(Protocol):
    """Receiver of the tokens of an attempt."""

    @property
    def offset(self) -> int:
        """Number of tokens delivered so far."""

    async def deliver(
        self, attempt_id: str, offset: int, tokens: tuple[str, ...]
    ) -> None:
        """Deliver tokens; waits while the caller reads too slowly."""


class Attempt(NamedTuple):
    """A dispatch with its prompt text, which the core does not have.

    ``generated_text`` is the text of the tokens that were already generated.
    """

    dispatch: actions.Dispatch
    request: records.RequestSpec
    prompt: str
    generated_text: str
    sink: Sink


class EngineClient(abc.ABC):
    """Base class of clients; ``aliases`` are further names for look-up."""

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()

    def __init__(
        self,
        session: aiohttp.ClientSession,
        config: settings.Settings,
        emit: Emit,
    ) -> None:
        """``session`` must not reuse connections for attempts.

        A reused connection can break before the target reads the request,
        and then it is unknown whether the attempt has run.
        """
        self.session = session
        self.silence_timeout_s = config.timing.silent_ms / MS_PER_S
        self.emit = emit

    async def run(self, attempt: Attempt) -> None:
        """Run an attempt to its end and emit the event that ends it."""
        dispatch = attempt.dispatch
        offset = attempt.sink.offset
        try:
            finished = await self.perform(attempt)
        except Exception as fault:
            kind = await self._classify(fault, dispatch)
            if kind == 'refused' and attempt.sink.offset > offset:
                # An attempt that has brought tokens has run.
                kind = 'lost'
            logs.write(
                'attempt_failed',
                {
                    'attempt': dispatch.attempt_id,
                    'request': dispatch.request_id,
                    'target': dispatch.targets[-1].name,
                    'kind': kind,
                    'fault': repr(fault),
                },
            )
            finished = events.AttemptFailed(
                dispatch.attempt_id, kind, attempt.sink.offset
            )
        self.emit(finished)
        await self.clean_up(attempt, finished)

    async def clean_up(self, attempt: Attempt, finished: events.Event) -> None:
        """Free what an ended attempt still holds at its targets."""

    @abc.abstractmethod
    async def perform(self, attempt: Attempt) -> events.Event:
        """Run an attempt and return its success event.

        Raises :class:`AttemptFault` or an error of the connection.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, attempt_id: str) -> None:
        """Cancel an attempt at a target; faults are ignored."""

    @abc.abstractmethod
    async def read_load(self, target: records.TargetInfo) -> records.LoadReport:
        """Read a load report.

        Raises an error of the connection or :class:`ValueError`.
        """

    async def read_cache_events(
        self, target: records.TargetInfo, after: int
    ) -> list[events.PrefixesReported]:
        """Read the cache events after a sequence number."""
        return []

    async def send_order(
        self, address: str, fence: int, order: Mapping[str, Any]
    ) -> Mapping[str, Any]:
        """Send an order and return ``status`` and ``state``."""
        return {'status': 'unsupported', 'state': {}}

    async def _classify(
        self, fault: Exception, dispatch: actions.Dispatch
    ) -> events.FailureKind:
        if isinstance(fault, AttemptFault):
            return fault.kind
        if isinstance(fault, _CONNECT_FAULTS):
            return 'target_died' if dispatch.resume else 'refused'
        if isinstance(fault, TimeoutError):
            return 'silent'
        if await self._refuses_connections(dispatch.targets[-1].address):
            return 'target_died'
        return 'lost'

    async def _refuses_connections(self, address: str) -> bool:
        """Return whether a target refuses new connections."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        url = f'http://{address}/v1/load'
        try:
            async with self.session.get(url, timeout=timeout):
                return False
        except aiohttp.ClientConnectorError:
            return True
        except (aiohttp.ClientError, TimeoutError):
            return False


# No byte of the request was sent: the connection was not established.
_CONNECT_FAULTS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


def register(client: type[EngineClient]) -> type[EngineClient]:
    """Register a client class under its name and aliases."""
    for name in (client.name, *client.aliases):
        _clients_by_name[name] = client
    return client


def get_engine_by_kind(kind: str) -> type[EngineClient]:
    """Return the client class; raises ``KeyError`` for an unknown kind."""
    plugins.import_plugins('bergamotstream.engines')
    return _clients_by_name[kind]
