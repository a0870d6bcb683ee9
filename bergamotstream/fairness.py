"""
Fairness
~~~~~~~~

Start-time fair queueing across workspaces. Source: Goyal, Vin and Cheng,
"Start-time Fair Queuing: A Scheduling Algorithm for Integrated Services
Packet Switching Networks", 1996. The cost of a request is its tokens.
"""

import heapq
from collections.abc import Iterator

from bergamotstream import grants

MIN_WEIGHT = 0.001
# Removed entries that may stay in the heap.
SPARE = 64


class FairQueue:
    """Waiting requests of one length class, in order of their start tags."""

    def __init__(self) -> None:
        """Start empty with a virtual time of zero."""
        self.tokens = 0
        self.count_by_workspace: dict[str, int] = {}
        self._heap: list[tuple[float, int, grants.Waiting]] = []
        self._finish_by_workspace: dict[str, float] = {}
        self._virtual_time = float(0)
        self._arrivals = 0
        self._count = 0

    def __len__(self) -> int:
        """Return the number of requests that still wait."""
        return self._count

    def __iter__(self) -> Iterator[grants.Waiting]:
        """Yield the waiting requests in no particular order."""
        return (entry for _, _, entry in self._heap if entry.queued)

    def push(self, waiting: grants.Waiting, weight: float) -> None:
        """Append a request of a workspace with ``weight``."""
        workspace = waiting.request.workspace
        previous = self._finish_by_workspace.get(workspace, float(0))
        start = max(self._virtual_time, previous)
        cost = waiting.cost_tokens / max(weight, MIN_WEIGHT)
        self._finish_by_workspace[workspace] = start + cost
        self._arrivals += 1
        heapq.heappush(self._heap, (start, self._arrivals, waiting))
        waiting.queued = True
        self._add(waiting, 1)

    def head(self) -> grants.Waiting | None:
        """Return the next request without removing it."""
        while self._heap and not self._heap[0][2].queued:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def first(self, count: int) -> list[grants.Waiting]:
        """Return up to ``count`` requests in the order of their turn."""
        entries = heapq.nsmallest(count, self._heap, key=_start_tag)
        return [waiting for _, _, waiting in entries if waiting.queued]

    def take(self, waiting: grants.Waiting) -> None:
        """Remove a request because it has been granted."""
        if waiting is self.head():
            start, _, _ = heapq.heappop(self._heap)
            self._virtual_time = max(self._virtual_time, start)
        self.remove(waiting)

    def remove(self, waiting: grants.Waiting) -> None:
        """Remove a request from any place in the queue."""
        if not waiting.queued:
            return
        waiting.queued = False
        self._add(waiting, -1)
        if not self._count:
            self._heap.clear()
            self._forget_past_workspaces()
        elif len(self._heap) > 2 * self._count + SPARE:
            self._heap = [entry for entry in self._heap if entry[2].queued]
            heapq.heapify(self._heap)

    def newest_of(self, workspace: str) -> grants.Waiting | None:
        """Return the last request of a workspace; scans, use when full."""
        entries = [
            entry
            for entry in sorted(self._heap, key=_start_tag)
            if entry[2].queued and entry[2].request.workspace == workspace
        ]
        return entries[-1][2] if entries else None

    def _add(self, waiting: grants.Waiting, sign: int) -> None:
        workspace = waiting.request.workspace
        self._count += sign
        self.tokens += sign * waiting.cost_tokens
        count = self.count_by_workspace.get(workspace, 0) + sign
        if count:
            self.count_by_workspace[workspace] = count
        else:
            self.count_by_workspace.pop(workspace, None)

    def _forget_past_workspaces(self) -> None:
        self._finish_by_workspace = {
            workspace: finish
            for workspace, finish in self._finish_by_workspace.items()
            if finish > self._virtual_time
        }


def _start_tag(entry: tuple[float, int, grants.Waiting]) -> tuple[float, int]:
    return entry[0], entry[1]
