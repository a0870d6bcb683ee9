"""
Grant table
~~~~~~~~~~~

The live grants of a partition, by attempt and by request, with their leases.
"""

import heapq

from bergamotstream import grants


class GrantTable:
    """Live grants and the order in which their leases expire."""

    def __init__(self) -> None:
        """Start empty."""
        self.grants_by_attempt: dict[str, grants.Grant] = {}
        self._attempt_by_request: dict[str, str] = {}
        self._leases: list[tuple[int, str]] = []

    def add(self, grant: grants.Grant) -> None:
        """Add a grant whose ``expires_ms`` is set."""
        self.grants_by_attempt[grant.attempt_id] = grant
        self._attempt_by_request[grant.request.request_id] = grant.attempt_id
        heapq.heappush(self._leases, (grant.expires_ms, grant.attempt_id))

    def remove(self, grant: grants.Grant) -> None:
        """Remove a grant that has ended."""
        self.grants_by_attempt.pop(grant.attempt_id, None)
        request_id = grant.request.request_id
        if self._attempt_by_request.get(request_id) == grant.attempt_id:
            self._attempt_by_request.pop(request_id)

    def get(self, attempt_id: str) -> grants.Grant | None:
        """Return the grant of an attempt."""
        return self.grants_by_attempt.get(attempt_id)

    def get_by_request(self, request_id: str) -> grants.Grant | None:
        """Return the grant of a request."""
        return self.get(self._attempt_by_request.get(request_id, ''))

    def expired(self, now_ms: int) -> list[grants.Grant]:
        """Return grants whose lease has expired; keep renewed ones."""
        ended = []
        while self._leases and self._leases[0][0] <= now_ms:
            _, attempt_id = heapq.heappop(self._leases)
            grant = self.get(attempt_id)
            if grant is None:
                continue
            if grant.expires_ms > now_ms:
                heapq.heappush(self._leases, (grant.expires_ms, attempt_id))
            else:
                ended.append(grant)
        return ended
