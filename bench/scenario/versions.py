"""
Versions
~~~~~~~~

The versions of the system that scenarios are played against.
"""

import importlib.util

from bench import fakes


def all_versions() -> tuple[fakes.Version, ...]:
    """Return the naive version and, once assembled, the real core."""
    versions = [fakes.naive_version()]
    if importlib.util.find_spec('bergamotstream.assembly'):
        versions.append(fakes.real_version())
    return tuple(versions)
