"""
Outside data
~~~~~~~~~~~~

Reads JSON and single values that other programs have written. What cannot be
read, nests too deep or is out of its range raises :class:`Malformed` and no
other error.
"""

import functools
import json
import math
import reprlib
from collections.abc import Iterable
from typing import Any, Final

# Deeper than any format that is read; the interpreter's own limit depends on
# the calls that are open at the time.
MAX_DEPTH: Final = 32
# Longer whole numbers fit into no field.
MAX_DIGITS: Final = 20
MAX_TEXT: Final = 1_000
MAX_PORT: Final = 65_535
MAX_OCTET: Final = 255
OCTETS: Final = 4
# Largest revision, count or time that all formats hold.
MAX_WHOLE: Final = (1 << 63) - 1
# Addresses whose check is remembered; more than hosts and targets have.
CACHED_ADDRESSES: Final = 4_096


class Malformed(ValueError):
    """Data that cannot be read, or a value out of its range."""


def decode_json(document: bytes | str, max_depth: int = MAX_DEPTH) -> Any:
    """Return the decoded document; raises :class:`Malformed`.

    It may have ``max_depth`` levels.

    Whole numbers of more than ``MAX_DIGITS`` digits become an infinite number,
    which no check accepts, so that a field that nobody reads does no harm.
    """
    try:
        decoded = json.loads(document, parse_int=_whole_or_infinite)
    except (ValueError, RecursionError) as fault:
        raise Malformed(f'no JSON: {shown(fault)}') from fault
    _check_depth(decoded, max_depth)
    return decoded


def _whole_or_infinite(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else math.inf


def _check_depth(decoded: Any, max_depth: int) -> None:
    level = [decoded]
    for _ in range(max_depth):
        level = [
            inner
            for outer in level
            if isinstance(outer, (dict, list))
            for inner in _parts(outer)
        ]
        if not level:
            return
    raise Malformed(f'deeper than {max_depth} levels')


def _parts(outer: dict[str, Any] | list[Any]) -> Iterable[Any]:
    return outer.values() if isinstance(outer, dict) else outer


def shown(found: Any) -> str:
    """Return a short description of any value, for a log line."""
    return reprlib.repr(found)


def mapping(found: Any) -> dict[str, Any]:
    """Return an object; raises :class:`Malformed`."""
    if not isinstance(found, dict):
        raise Malformed(f'no object: {shown(found)}')
    return found


def listed(found: Any) -> list[Any]:
    """Return a list; raises :class:`Malformed`."""
    if not isinstance(found, list):
        raise Malformed(f'no list: {shown(found)}')
    return found


def whole(found: Any, lowest: int = 0, highest: int = MAX_WHOLE) -> int:
    """Return a whole number in a range; raises :class:`Malformed`."""
    is_whole = isinstance(found, int) and not isinstance(found, bool)
    if not is_whole or not lowest <= found <= highest:
        raise Malformed(f'no whole number in its range: {shown(found)}')
    return int(found)


def decimal(digits: Any, highest: int = MAX_WHOLE) -> int:
    """Return a whole number written in digits; raises :class:`Malformed`."""
    is_decimal = (
        isinstance(digits, str)
        and digits.isascii()
        and digits.isdecimal()
        and len(digits) <= MAX_DIGITS
    )
    if not is_decimal:
        raise Malformed(f'no decimal number: {shown(digits)}')
    return whole(int(digits), 0, highest)


def number(found: Any, lowest: float, highest: float) -> float:
    """Return a finite number in a range; raises :class:`Malformed`."""
    is_number = isinstance(found, (int, float)) and not isinstance(found, bool)
    if not is_number or not lowest <= found <= highest:
        raise Malformed(f'no number in its range: {shown(found)}')
    return float(found)


def text(found: Any, longest: int = MAX_TEXT) -> str:
    """Return a printable text; raises :class:`Malformed`.

    Control characters, line ends and halves of characters are not printable.
    """
    is_text = isinstance(found, str) and 0 < len(found) <= longest
    if not is_text or not found.isprintable():
        raise Malformed(f'no printable text: {shown(found)}')
    return str(found)


def address(found: Any) -> str:
    """Return ``ip:port``, an IPv4 address; raises :class:`Malformed`."""
    if not isinstance(found, str) or not _is_address(found):
        raise Malformed(f'no address: {shown(found)}')
    return found


@functools.lru_cache(CACHED_ADDRESSES)
def _is_address(candidate: str) -> bool:
    ip, _, port = candidate.rpartition(':')
    octets = ip.split('.')
    return (
        len(octets) == OCTETS
        and all(_is_decimal(octet, MAX_OCTET) for octet in octets)
        and port != '0'
        and _is_decimal(port, MAX_PORT)
    )


def _is_decimal(digits: str, highest: int) -> bool:
    """Tell whether a text is the usual form of a number up to ``highest``."""
    return (
        digits.isascii()
        and digits.isdecimal()
        and len(digits) <= len(str(highest))
        and digits == str(int(digits))
        and int(digits) <= highest
    )
