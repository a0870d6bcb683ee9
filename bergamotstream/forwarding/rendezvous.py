"""
Rendezvous hashing
~~~~~~~~~~~~~~~~~~

Lets hosts choose some of themselves for a duty without coordination. Hosts that
know the same names choose the same ones, and one more or less host changes at
most one of them.
"""

import heapq
from collections.abc import Iterable

import xxhash


def choose(names: Iterable[str], duty: str, count: int) -> list[str]:
    """Return the ``count`` names that are chosen for a duty."""
    return heapq.nlargest(
        count,
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{name} {duty}'.encode()),
    )
