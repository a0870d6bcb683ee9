"""
Version lag
~~~~~~~~~~~

For how long most other hosts have had a newer configuration in force than this
one.
"""

from collections.abc import Collection


class VersionLag:
    """The lag of one host behind the versions of its peers."""

    def __init__(self) -> None:
        """Start without a lag."""
        self._since_ms = 0
        # The lowest version that ends the lag; 0 without one.
        self._needed = 0

    def compare(self, own: int, versions: Collection[int], now_ms: int) -> None:
        """Record this host's version and those of its peers."""
        newer = sorted(version for version in versions if version > own)
        if len(newer) * 2 <= len(versions):
            self._needed = 0
            return
        if not self._needed:
            self._since_ms = now_ms
        self._needed = newer[0]

    def since_ms(self, own: int) -> int | None:
        """Return since when the version ``own`` has been behind, if it is."""
        return self._since_ms if own < self._needed else None
