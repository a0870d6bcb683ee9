"""
Version lag
~~~~~~~~~~~

For how long other hosts have had a newer configuration in force than this one.
"""


class VersionLag:
    """The lag of one host behind the newest version of its peers."""

    def __init__(self) -> None:
        """Start without a lag."""
        # Since when a peer has had a newer version, if one has.
        self.since_ms: int | None = None

    def compare(self, own: int, newest: int, now_ms: int) -> bool:
        """Record both versions; tell whether this host is behind."""
        if newest <= own:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms
        return self.since_ms is not None
