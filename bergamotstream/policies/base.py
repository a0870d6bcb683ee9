"""
Policy base
~~~~~~~~~~~

Base class of the policies, the registry and its look-up functions.
"""

from collections.abc import Sequence
from typing import Any, ClassVar

from bergamotstream import errors, occupancy, targetstate

_policies_by_name: dict[str, type['Policy']] = {}

Candidates = Sequence[targetstate.TargetState]


class Policy:
    """Chooses a target among those that have room for a request.

    Subclasses set ``name`` and ``aliases`` and name their options in the
    docstring. ``separates_lengths`` makes the owner limit the number of
    targets that process long prompts.
    """

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()
    separates_lengths: ClassVar[bool] = False

    def __init__(self, **options: Any) -> None:
        """Keep the options that the docstring names."""
        self.options = options

    def choose(
        self,
        candidates: Candidates,
        requirement: occupancy.Requirement,
        now_ms: int,
    ) -> targetstate.TargetState | None:
        """Return the target to use, or None to keep the request queued.

        Every candidate is usable and has room; there may be none.
        """
        raise NotImplementedError


def register(policy: type[Policy]) -> type[Policy]:
    """Register a policy under its name and aliases."""
    for name in (policy.name, *policy.aliases):
        _policies_by_name[name] = policy
    return policy


def get_policy_by_name(name: str, **options: Any) -> Policy:
    """Return a new policy.

    Raises :class:`errors.InvalidSettings` if the name is unknown.
    """
    if name not in _policies_by_name:
        known = ', '.join(sorted(_policies_by_name))
        raise errors.InvalidSettings(f'unknown policy {name!r}, not in {known}')
    return _policies_by_name[name](**options)


def all_policy_names() -> tuple[str, ...]:
    """Return the names of the registered policies without aliases."""
    names = {policy.name for policy in _policies_by_name.values()}
    return tuple(sorted(names))
