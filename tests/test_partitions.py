"""Names of partitions and the rendezvous order of their members."""

from bergamotstream import partitions, records


def test_partition_depends_on_the_target_alone():
    """Guards against hosts that assign one target to different partitions."""
    service = records.ServiceConfig('asistente', 'model')
    target = records.TargetInfo('t1', 'asistente', 'rosario', '127.0.0.1:1')
    leaving = target._replace(leaving=True)
    name = partitions.targets_partition(target, service)
    assert name == 'targets:asistente:rosario:0'
    assert partitions.targets_partition(leaving, service) == name


def test_removal_of_one_member_moves_only_its_partitions():
    """Guards against reassigning all partitions when one member leaves."""
    members = [f'h{number}' for number in range(7)]
    for number in range(50):
        before = partitions.rendezvous_order(f'accounts:{number}', members)
        after = partitions.rendezvous_order(f'accounts:{number}', members[1:])
        if before[0] != 'h0':
            assert after[0] == before[0]
