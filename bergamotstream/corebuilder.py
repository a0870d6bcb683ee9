"""
Core builder
~~~~~~~~~~~~

Builds the core of a host from its components. The order matters where one
component reads state that another one writes for the same event.
"""

from bergamotstream import (
    accounts,
    bundles,
    claims,
    components,
    core,
    granting,
    inventory,
    journal,
    membership,
    orders,
    ownership,
    placement,
    sessions,
    settings,
    shutdown,
)

COMPONENTS: tuple[type[components.Component], ...] = (
    membership.Membership,
    ownership.Ownership,
    bundles.Bundles,
    granting.Granting,
    accounts.Accounts,
    claims.Claims,
    orders.Orders,
    inventory.Inventory,
    shutdown.GracefulShutdown,
    placement.Placement,
    sessions.Sessions,
    journal.Journal,
)


def build_core(config: settings.Settings, incarnation: str) -> core.HostCore:
    """Build a core; ``incarnation`` differs for each start of the host."""
    return core.HostCore(config, incarnation, COMPONENTS)
