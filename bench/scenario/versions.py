"""
Versions
~~~~~~~~

The versions of the system that scenarios are played against.
"""

from bench import fakes, real


def all_versions() -> tuple[fakes.Version, ...]:
    """Return the naive version and the real core."""
    return fakes.naive_version(), real.real_version()


def measured_versions() -> tuple[tuple[str, fakes.Version], ...]:
    """Return the versions to measure, the real core once for each policy."""
    naive, assembled = all_versions()
    measured = [(naive.name, naive)]
    for policy in ('least-loaded', 'predictive'):
        measured.append(
            (f'{assembled.name} {policy}', assembled._replace(policy=policy))
        )
    return tuple(measured)
