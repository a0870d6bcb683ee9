"""
Target table
~~~~~~~~~~~~

The targets that a host knows, by id, and which of them uses an address. At most
one does.
"""

from bergamotstream.forwarding import fleetrecords


class TargetTable:
    """Targets by id, with the one at each address."""

    def __init__(self) -> None:
        """Know no target."""
        self.by_id: dict[str, fleetrecords.TargetEntry] = {}
        self._ids_by_address: dict[str, str] = {}

    def record(self, entry: fleetrecords.TargetEntry) -> None:
        """Record a target; no other one uses its address."""
        self._free_address(entry.target_id)
        self.by_id[entry.target_id] = entry
        self._ids_by_address[entry.address] = entry.target_id

    def forget(self, target_id: str) -> None:
        """Forget a target, if it is known."""
        self._free_address(target_id)
        self.by_id.pop(target_id, None)

    def other_user(
        self, entry: fleetrecords.TargetEntry
    ) -> fleetrecords.TargetEntry | None:
        """Return the other target that uses the address of ``entry``."""
        target_id = self._ids_by_address.get(entry.address, '')
        return (
            None if target_id == entry.target_id else self.by_id.get(target_id)
        )

    def _free_address(self, target_id: str) -> None:
        known = self.by_id.get(target_id)
        if known is not None:
            self._ids_by_address.pop(known.address, None)
