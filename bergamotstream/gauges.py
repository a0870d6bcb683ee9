"""
Gauges
~~~~~~

Current values of one host, read from the shared state when metrics are
exported.
"""

from bergamotstream import metrics, state


def read_gauges(shared: state.HostState) -> dict[metrics.Series, int]:
    """Return the current values; ages are in milliseconds."""
    record = shared.cell_record
    live = shared.live_peers | {shared.host}
    members = set(record.members) if record else set()
    bundle = shared.bundle
    amounts = {
        'open_requests': shared.open_requests,
        'config_version': bundle.version if bundle else 0,
        'config_age_ms': (
            shared.now_ms - shared.bundle_since_ms if bundle else 0
        ),
        'members': len(members),
        'live_members': len(live & members),
        'live_hosts': len(live),
        'cell_epoch': record.epoch if record else 0,
        'zones_out': len(bundle.zones_out) if bundle else 0,
        'leaving': int(shared.leaving),
    }
    gauges = {
        metrics.Series(name, ''): amount for name, amount in amounts.items()
    }
    for kind in ('targets', 'accounts', 'claims'):
        gauges[metrics.Series('owned_partitions', kind)] = sum(
            partition.startswith(f'{kind}:')
            for partition in shared.owned_partitions
        )
    return gauges
