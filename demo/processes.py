"""
Processes
~~~~~~~~~

Starts the processes of the demonstration and stops exactly those.
"""

import asyncio
import collections
import pathlib
import signal
import socket
import sys
from collections.abc import Mapping, Sequence

# Hosts finish open requests; what is left at the end need not.
STOP_LIMIT_S = 8.0
END_LIMIT_S = 2.0
LOG_TAIL_LINES = 20


# Sockets that keep addresses from other processes, the latest ones.
_reserving: collections.deque[socket.socket] = collections.deque()
MAX_RESERVED = 1_024


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses that no other process is given.

    A socket stays bound to each without listening. The kernel then gives the
    port to nobody else, but lets a server listen there that allows the reuse
    of addresses.
    """
    addresses = []
    for _ in range(count):
        reserving = socket.socket()
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserving.bind(('127.0.0.1', 0))
        addresses.append(f'127.0.0.1:{reserving.getsockname()[1]}')
        _reserving.append(reserving)
    while len(_reserving) > max(MAX_RESERVED, count):
        _reserving.popleft().close()
    return addresses


class Processes:
    """Child processes by name, each with a log file in a folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Write logs into ``folder``."""
        self._folder = folder
        self._children: dict[str, asyncio.subprocess.Process] = {}

    async def start(
        self, name: str, module: str, options: Mapping[str, object]
    ) -> None:
        """Run ``python -m module`` with ``--option value`` for each option."""
        texts = [
            text
            for option, given in options.items()
            for text in (f'--{option}', str(given))
        ]
        with self._log_path(name).open('wb') as log:
            self._children[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *texts,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def ended(self) -> list[str]:
        """Return the names of processes that have ended by themselves."""
        return [
            name
            for name, child in self._children.items()
            if child.returncode is not None
        ]

    def kill(self, name: str) -> None:
        """Kill a process as a crash would; it is then no longer ours."""
        self._children.pop(name).kill()

    def running(self, names: Sequence[str]) -> list[str]:
        """Return those of ``names`` that were not killed."""
        return [name for name in names if name in self._children]

    def pid(self, name: str) -> int:
        """Return the process id of a child."""
        return self._children[name].pid

    def log_tail(self, name: str) -> str:
        """Return the last lines that a process wrote."""
        lines = self._log_path(name).read_text().splitlines()
        return '\n'.join(lines[-LOG_TAIL_LINES:])

    def pause(self, name: str) -> None:
        """Pause a process until :meth:`resume`."""
        self._children[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self._children[name].send_signal(signal.SIGCONT)

    async def stop(
        self, names: Sequence[str], limit_s: float = STOP_LIMIT_S
    ) -> dict[str, int]:
        """Terminate processes, kill what remains; return exit statuses."""
        children = {name: self._children[name] for name in names}
        for child in children.values():
            if child.returncode is None:
                child.terminate()
        waits = [
            asyncio.create_task(entry.wait()) for entry in children.values()
        ]
        await asyncio.wait(waits, timeout=limit_s)
        for late in children.values():
            if late.returncode is None:
                late.kill()
        statuses = await asyncio.gather(*waits)
        return dict(zip(children, statuses, strict=True))

    async def stop_all(self) -> None:
        """Stop all processes that still run."""
        running = [
            name
            for name, child in self._children.items()
            if child.returncode is None
        ]
        if running:
            await self.stop(running, END_LIMIT_S)

    def _log_path(self, name: str) -> pathlib.Path:
        return self._folder / f'{name}.log'
