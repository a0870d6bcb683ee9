"""
Odd fields
~~~~~~~~~~

Reads the fields of a document one by one. A field that is not what the pages
say is recorded with its reason and replaced, so that it does not cost the
document. A field that is missing or null gets its default and is no fault.
"""

import math
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from bergamotstream import outsidedata

# Faults of one document that are kept; the others are only counted.
MAX_FAULTS: Final = 20
# An API key or a path may fill the head of a request.
MAX_TEXT: Final = 65_536


class Fault(NamedTuple):
    """A field that was replaced or left out."""

    # Such as ``routes[3].timeout_ms``.
    key: str
    reason: str


class Faults:
    """The faults of one document, the first ``MAX_FAULTS`` with reasons."""

    def __init__(self) -> None:
        """Know no fault."""
        self.first: list[Fault] = []
        self.count = 0

    def add(self, key: str, reason: str) -> None:
        """Record a fault."""
        self.count += 1
        if len(self.first) < MAX_FAULTS:
            self.first.append(Fault(key, reason))


class Fields:
    """The fields of one object of a document."""

    def __init__(
        self, body: Mapping[str, Any], key: str, faults: Faults
    ) -> None:
        """Read ``body``, which the document has at ``key``."""
        self._body = body
        self._key = key
        self._faults = faults

    def add_fault(self, name: str, reason: str) -> None:
        """Record what is odd about a field."""
        self._faults.add(f'{self._key}{name}', reason)

    def has(self, name: str) -> bool:
        """Tell whether a field is there and neither null nor empty."""
        return self._body.get(name) not in (None, [], {})

    def text(self, name: str) -> str | None:
        """Return a printable text, ``None`` if there is none."""
        found = self._body.get(name)
        try:
            return outsidedata.text(found, MAX_TEXT)
        except outsidedata.Malformed as fault:
            self.add_fault(name, str(fault))
            return None

    def any_text(self, name: str) -> str | None:
        """Return a text with any characters, ``None`` if there is none."""
        found = self._body.get(name)
        if isinstance(found, str) and found:
            return found
        self.add_fault(name, f'no text: {outsidedata.shown(found)}')
        return None

    def optional_text(self, name: str, default: str) -> str:
        """Return a printable text, or the default."""
        if self._body.get(name) in (None, ''):
            return default
        return self.text(name) or default

    def flag(self, name: str) -> bool:
        """Return whether a field is true or 1; other values count as false."""
        found = self._body.get(name)
        if found is None or found in (False, True):
            return bool(found)
        self.add_fault(
            name, f'neither true nor false: {outsidedata.shown(found)}'
        )
        return False

    def number(self, name: str, lowest: float, highest: float) -> float | None:
        """Return a number of at most ``highest``.

        Return ``None`` if the field is missing, below ``lowest``, or no
        number.
        """
        found = self._body.get(name)
        if found is None:
            return None
        is_number = isinstance(found, (int, float)) and not isinstance(
            found, bool
        )
        if not is_number or math.isnan(found) or found < lowest:
            self.add_fault(
                name, f'no number in its range: {outsidedata.shown(found)}'
            )
            return None
        if found > highest:
            self.add_fault(
                name, f'above {highest:.16g}: {outsidedata.shown(found)}'
            )
            return highest
        return found

    def whole(self, name: str, lowest: int, highest: int) -> int | None:
        """Return a whole number as :meth:`number` does; ``5.0`` is one.

        Other fractions are rounded down.
        """
        found = self.number(name, lowest, highest)
        if found is None:
            return None
        if found != int(found):
            self.add_fault(name, f'no whole number: {outsidedata.shown(found)}')
        return int(found)

    def duration_ms(self, name: str, lowest: int, highest: int) -> int | None:
        """Return a time in whole milliseconds, rounded up."""
        found = self.number(name, 0, highest)
        rounded = None if found is None else math.ceil(found)
        if rounded is not None and rounded < lowest:
            self.add_fault(name, f'below {lowest}: {rounded}')
            return None
        return rounded

    def inner(self, name: str) -> 'Fields | None':
        """Return the fields of an inner object, ``None`` if there is none."""
        found = self._body.get(name)
        if found is None:
            return None
        if isinstance(found, dict):
            return Fields(found, f'{self._key}{name}.', self._faults)
        self.add_fault(name, f'no object: {outsidedata.shown(found)}')
        return None

    def empty(self, name: str) -> 'Fields':
        """Return an inner object without fields."""
        return Fields({}, f'{self._key}{name}.', self._faults)

    def listed(self, name: str) -> list[Any] | None:
        """Return a list, ``None`` if the field is something else."""
        found = self._body.get(name)
        if found is None:
            return []
        if isinstance(found, list):
            return found
        self.add_fault(name, f'no list: {outsidedata.shown(found)}')
        return None

    def texts(self, name: str) -> Iterator[str | None]:
        """Yield the texts of a list, with any characters.

        Yield ``None`` for an entry that is no text, or a field that is no
        list.
        """
        found = self.listed(name)
        if found is None:
            yield None
            return
        for number, entry in enumerate(found):
            if isinstance(entry, str) and entry:
                yield entry
            else:
                self.add_fault(f'{name}[{number}]', 'no text')
                yield None

    def entries(self, name: str) -> Iterator['Fields | None']:
        """Yield the fields of each object of a list.

        Yield ``None`` for an entry that is no object, or a field that is no
        list.
        """
        found = self.listed(name)
        if found is None:
            yield None
            return
        for number, entry in enumerate(found):
            key = f'{name}[{number}]'
            if isinstance(entry, dict):
                yield Fields(entry, f'{self._key}{key}.', self._faults)
            else:
                self.add_fault(key, f'no object: {outsidedata.shown(entry)}')
                yield None
