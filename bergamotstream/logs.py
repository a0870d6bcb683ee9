"""
Logs
~~~~

One line of key=value pairs for each event. The text of prompts and answers
is never logged; long values are truncated.
"""

from collections.abc import Mapping
from typing import Any

from absl import logging

MAX_VALUE_CHARACTERS = 200
# Fields that would contain text of callers; they are omitted.
OMITTED_FIELDS = frozenset(('prompt', 'answer', 'text', 'payload', 'prefix'))


def format_line(event: str, fields: Mapping[str, Any]) -> str:
    """Return ``event=... key=value ...``; values with spaces are quoted."""
    pairs = [f'event={event}']
    pairs.extend(
        f'{name}={_quote(field)}'
        for name, field in fields.items()
        if name not in OMITTED_FIELDS
    )
    return ' '.join(pairs)


def write(event: str, fields: Mapping[str, Any]) -> None:
    """Write one line at level INFO."""
    logging.info('%s', format_line(event, fields))


def _quote(field: Any) -> str:
    text = str(field)[:MAX_VALUE_CHARACTERS]
    if text and not set(text) & set(' ="\n'):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return '"{0}"'.format(escaped.replace('\n', r'\n'))
