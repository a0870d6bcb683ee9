"""
Versions
~~~~~~~~

The versions of the system that scenarios are played against.
"""

from importlib import util

from bench import fakes


def all_versions() -> tuple[fakes.Version, ...]:
    """Return the naive version and, once assembled, the real core."""
    versions = [fakes.naive_version()]
    if util.find_spec('bergamotstream.assembly'):
        versions.append(fakes.real_version())
    return tuple(versions)


def measured_versions() -> tuple[tuple[str, fakes.Version], ...]:
    """Return the versions to measure, the real core once for each policy."""
    naive, *real = all_versions()
    measured = [(naive.name, naive)]
    for version in real:
        for policy in ('least-loaded', 'predictive'):
            measured.append(
                (f'{version.name} {policy}', version._replace(policy=policy))
            )
    return tuple(measured)
