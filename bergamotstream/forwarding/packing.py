"""
Packing
~~~~~~~

Decides how far urgent requests are packed on few targets. It answers requests
that many hosts place at the same moment, such as those of callers that return
together: hosts learn of each other's placements about 0.1 s later, so that all
of them would fill the same targets beyond their slots.
"""

from collections.abc import Iterable
from typing import Final

from bergamotstream.forwarding import hostsettings, placement

# Placements of all hosts of the cell within ``commitments.RECENT_MS`` up to
# which requests are fully packed. The hosts do not know half of them yet, and
# these fit into the slots that two targets keep free.
PACKED_PLACEMENTS: Final = 8


def share(
    candidates: Iterable[placement.Candidate], features: hostsettings.Features
) -> float:
    """Return the part of the packing that applies, from 0 to 1.

    Pairs of placements that choose the same target grow with the square. It
    is always 1 without the feature ``burst_spreading``.
    """
    if not features.burst_spreading:
        return 1
    recent = sum(candidate.load.recent_requests for candidate in candidates)
    return min(PACKED_PLACEMENTS / max(recent, 1), 1) ** 2
