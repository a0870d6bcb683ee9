"""
Paced runner
~~~~~~~~~~~~

Runs the web application of a host that runs alone with bounds on what all its
callers together make it hold, as hosts on the platform have them.
"""

import resource
from typing import Any

from aiohttp import web

from bergamotstream import logs, metrics
from bergamotstream.forwarding import callerlimits, heldbytes, pacedreads

# Part of the descriptors that the process may open; the rest is for targets,
# other hosts and files.
CALLERS_DIVISOR = 2
MIN_CONNECTIONS = 16


class PacedRunner(web.AppRunner):
    """Runner whose connections have paced and bounded reads."""

    __slots__ = ('_limits', '_recorder')

    def __init__(
        self,
        app: web.Application,
        meters: metrics.Metrics,
        caller_bytes: int,
        **options: Any,
    ) -> None:
        """Hold at most ``caller_bytes`` for all callers together."""
        super().__init__(app, **options)
        self._recorder = MeterRecorder(meters)
        self._limits = callerlimits.ServerLimits(
            _max_head_bytes,
            heldbytes.HeldBytes(caller_bytes),
            callerlimits.ConnectionTable(_count_connections()),
            callerlimits.ParseBudget(),
        )

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return pacedreads.PacedServer(
            made.request_handler,
            self._recorder,
            self._limits,
            request_factory=made.request_factory,
            **self._kwargs,
        )


class MeterRecorder:
    """Counts and logs what is refused."""

    def __init__(self, meters: metrics.Metrics) -> None:
        """Count in ``meters``."""
        self._meters = meters

    def record_unreadable(self, status: int, fault: str, caller: str) -> None:
        """Record bytes that are no request."""
        self._meters.count('callers_unreadable', str(status))
        logs.write(
            'caller_unreadable',
            {'status': status, 'fault': fault, 'caller': caller},
        )

    def record_limit(self, limit: str, allowed: int) -> None:
        """Record a connection that was closed at a limit for all of them."""
        self._meters.count('caller_limits', limit)
        logs.write(
            'caller_limit_exceeded', {'limit': limit, 'allowed': allowed}
        )


def _max_head_bytes() -> int:
    """Return the longest head; the library bounds its lines by itself."""
    return pacedreads.MAX_HEAD_BYTES


def _count_connections() -> int:
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(allowed // CALLERS_DIVISOR, MIN_CONNECTIONS)
