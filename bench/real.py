"""
Real version
~~~~~~~~~~~~

The assembled core of ``bergamotstream`` as a version under test.
"""

from typing import Any

from bergamotstream import (
    audit,
    bundleformat,
    bundlestore,
    corebuilder,
    events,
)
from bench import fakes, operators, shapes, storage


def real_version() -> fakes.Version:
    """Return the real core with its default policy."""
    return fakes.Version(
        'bergamotstream',
        build=corebuilder.build_core,
        prepare=write_bundle,
        commands=operators.real_commands,
    )


def write_bundle(store: storage.Storage) -> None:
    """Put the first configuration into the key-value service."""
    stored = bundlestore.StoredConfig(
        audit.empty_head(), 0, bundleformat.empty_document()
    )
    entry = audit.Entry(
        version=0,
        from_version=0,
        command='config.roll',
        author='ana',
        signed_by='berta',
        urgent=False,
        wall_ms=0,
        nonce='first',
        changes=[],
        parts_digest='',
    )
    flow = bundlestore.BundleStore().put_in_force(
        stored, bundleformat.document_of(shapes.bundle()), entry
    )
    step = next(flow)
    while True:
        answers = [_write(store, action) for action in tuple(step)]
        try:
            step = flow.send(answers)
        except StopIteration:
            return


def _write(store: storage.Storage, action: Any) -> events.KvAnswered:
    store.put(action.key, action.value)
    found = store.items_by_key[action.key]
    return events.KvAnswered(action.operation_id, 'ok', (found,))
