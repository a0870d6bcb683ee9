"""
Fair queue
~~~~~~~~~~

Start-time fair queueing across workspaces. Source: Goyal, Vin and Cheng,
"Start-time Fair Queuing: A Scheduling Algorithm for Integrated Services
Packet Switching Networks", 1996. The cost of a request is its tokens.
"""

import collections
import heapq
import itertools
from collections.abc import Iterator

from bergamotstream import grants

MIN_WEIGHT = 0.001
# Outdated entries that may stay in the heap of heads.
MAX_STALE_HEADS = 64

Entry = tuple[float, int, grants.WaitingRequest]


class FairQueue:
    """Waiting requests of one length class, in order of their start tags.

    Requests of one workspace stay in order of arrival, so only the first of
    each workspace is in the heap.
    """

    def __init__(self) -> None:
        """Start empty with a virtual time of zero."""
        self.tokens = 0
        self.output_tokens = 0
        self.count_by_workspace: dict[str, int] = {}
        self._entries_by_workspace: dict[str, collections.deque[Entry]] = {}
        self._heads: list[Entry] = []
        self._finish_tag_by_workspace: dict[str, float] = {}
        self._virtual_time = float(0)
        self._arrivals = 0
        self._count = 0

    def __len__(self) -> int:
        """Return the number of requests that still wait."""
        return self._count

    def push(self, waiting: grants.WaitingRequest, weight: float) -> None:
        """Append a request of a workspace with ``weight``."""
        workspace = waiting.request.workspace
        previous = self._finish_tag_by_workspace.get(workspace, float(0))
        start = max(self._virtual_time, previous)
        cost = waiting.cost_tokens / max(weight, MIN_WEIGHT)
        self._finish_tag_by_workspace[workspace] = start + cost
        self._arrivals += 1
        entry = (start, self._arrivals, waiting)
        entries = self._entries_by_workspace.setdefault(
            workspace, collections.deque()
        )
        entries.append(entry)
        if len(entries) == 1:
            heapq.heappush(self._heads, entry)
        waiting.queued = True
        self._update_totals(waiting, 1)

    def head(self) -> grants.WaitingRequest | None:
        """Return the next request without removing it."""
        while self._heads and not self._heads[0][2].queued:
            heapq.heappop(self._heads)
        return self._heads[0][2] if self._heads else None

    def heads(self, count: int) -> list[grants.WaitingRequest]:
        """Return the first request of each of the next workspaces."""
        entries = heapq.nsmallest(count, self._heads, key=_start_tag)
        return [waiting for _, _, waiting in entries if waiting.queued]

    def first(self, count: int) -> list[grants.WaitingRequest]:
        """Return up to ``count`` requests in order of their start tags."""
        entries = itertools.chain.from_iterable(
            itertools.islice(entries, count)
            for entries in self._entries_by_workspace.values()
        )
        return [
            waiting
            for _, _, waiting in heapq.nsmallest(count, entries, key=_start_tag)
            if waiting.queued
        ]

    def dequeue(self, waiting: grants.WaitingRequest) -> None:
        """Remove a granted request and advance the virtual time."""
        start = self._entries_by_workspace[waiting.request.workspace][0][0]
        self._virtual_time = max(self._virtual_time, start)
        self.remove(waiting)

    def remove(self, waiting: grants.WaitingRequest) -> None:
        """Remove a request from any place in the queue."""
        if not waiting.queued:
            return
        waiting.queued = False
        self._update_totals(waiting, -1)
        self._drop_removed(waiting.request.workspace)
        if not self._count:
            self._heads.clear()
            self._discard_idle_workspaces()

    def newest_of(self, workspace: str) -> grants.WaitingRequest | None:
        """Return the last request of a workspace."""
        for _, _, waiting in self._newest_first(workspace):
            if waiting.queued:
                return waiting
        return None

    def _newest_first(self, workspace: str) -> Iterator[Entry]:
        return reversed(
            self._entries_by_workspace.get(workspace, collections.deque())
        )

    def _drop_removed(self, workspace: str) -> None:
        """Remove entries before the next waiting request of a workspace."""
        entries = self._entries_by_workspace[workspace]
        if entries[0][2].queued:
            return
        while entries and not entries[0][2].queued:
            entries.popleft()
        if entries:
            heapq.heappush(self._heads, entries[0])
        else:
            self._entries_by_workspace.pop(workspace)
        if (
            len(self._heads)
            > 2 * len(self._entries_by_workspace) + MAX_STALE_HEADS
        ):
            self._heads = [entry for entry in self._heads if entry[2].queued]
            heapq.heapify(self._heads)

    def _update_totals(self, waiting: grants.WaitingRequest, sign: int) -> None:
        workspace = waiting.request.workspace
        self._count += sign
        self.tokens += sign * waiting.request.prompt_tokens
        self.output_tokens += sign * waiting.request.max_output_tokens
        count = self.count_by_workspace.get(workspace, 0) + sign
        if count:
            self.count_by_workspace[workspace] = count
        else:
            self.count_by_workspace.pop(workspace, None)

    def _discard_idle_workspaces(self) -> None:
        self._finish_tag_by_workspace = {
            workspace: finish
            for workspace, finish in self._finish_tag_by_workspace.items()
            if finish > self._virtual_time
        }


def _start_tag(entry: Entry) -> tuple[float, int]:
    return entry[0], entry[1]
