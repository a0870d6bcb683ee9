"""
Core builder
~~~~~~~~~~~~

Builds the core of a host from its components. The order matters where one
component reads state that another one writes for the same event.
"""

from bergamotstream import (
    accounts,
    bundles,
    celllog,
    claims,
    components,
    core,
    hostselection,
    inventorycommands,
    membership,
    ownership,
    sessions,
    settings,
    shutdown,
    targetorders,
    targetpartitions,
)

COMPONENTS: tuple[type[components.Component], ...] = (
    membership.Membership,
    ownership.Ownership,
    bundles.Bundles,
    targetpartitions.TargetPartitions,
    accounts.Accounts,
    claims.Claims,
    targetorders.TargetOrders,
    inventorycommands.InventoryCommands,
    shutdown.GracefulShutdown,
    hostselection.HostSelection,
    sessions.Sessions,
    celllog.CellLog,
)


def build_core(config: settings.Settings, incarnation: str) -> core.HostCore:
    """Build a core; ``incarnation`` differs for each start of the host."""
    return core.HostCore(config, incarnation, COMPONENTS)
