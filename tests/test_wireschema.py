"""Compares the schema of messages with their Python definition."""

import pathlib
import re
import typing

import bergamotstream
from bergamotstream import messages


def test_schema_has_every_field_of_every_message():
    """Guards against a message field that is missing in the schema.

    Encoding a message with such a field fails: when ``GrantRequest.sent_ms``
    had no schema field, every grant request to another host was dropped.
    """
    folder = pathlib.Path(bergamotstream.__file__).parent
    text = (folder / 'peer.capnp').read_text()
    structs = dict(re.findall(r'struct (\w+) \{(.*?)\n\}', text, re.DOTALL))
    for message in typing.get_args(messages.Message):
        declared = re.findall(r'(\w+) *@\d+', structs[message.__name__])
        names = {re.sub('[A-Z]', _lower, name) for name in declared}
        assert set(message._fields) <= names, message.__name__


def _lower(match):
    return '_' + match.group().lower()
