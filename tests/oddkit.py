"""Odd documents, and what shows that they do no harm."""

from hypothesis import strategies

from bergamotstream.forwarding import fleetview
from bergamotstream.platform import store
from tests import platformkit as kit

# A settings file of the platform without bounds.
SETTINGS = {
    'node_name': 'a',
    'ip': '127.0.0.1',
    'zone': 'b',
    'listen': {
        'front': '127.0.0.1:1',
        'readiness': '127.0.0.1:2',
        'directory': '127.0.0.1:3',
    },
    'internal_ports': [4, 5],
    'platform': {'address': '127.0.0.1:6'},
}

DEEP = 100_000
LONG = 5_000
SOUND = '10.0.0.1:80'


async def answer_plain(request, writer):
    writer.write(kit.answer(request))
    await writer.drain()


def is_alive(system):
    return not any(task.done() for task in system.daemon_tasks)


def view_with_target(**changes):
    view = fleetview.FleetView()
    put(view, 't1', 5, **changes)
    return view


def put(view, name, revision, **changes):
    document = kit.target_document(changes.pop('address', SOUND), **changes)
    item = store.Item(f'servers/{name}', revision, document)
    return view.apply_changes(store.Page((item,), revision), 0)


SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(0, 1 << 80)
    | strategies.floats()
    | strategies.text(max_size=12)
    | strategies.sampled_from(['\ud800', '1' * LONG, '10.0.0.1:80', 'é:٣'])
)
JSON = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=6,
)


def paths_of(body, path=()):
    """Yield the paths to all parts of a document."""
    yield path
    entries = ()
    if isinstance(body, dict):
        entries = body.items()
    elif isinstance(body, list):
        entries = enumerate(body)
    for name, inner in entries:
        yield from paths_of(inner, (*path, name))


def replaced(body, path, part):
    """Return a document with one part replaced."""
    if not path:
        return part
    copied = body.copy()
    copied[path[0]] = replaced(body[path[0]], path[1:], part)
    return copied
