"""
Policies
~~~~~~~~

Plug-ins that choose the target of a request. Modules of this package register
their classes by the decorator :func:`policies.base.register`.
"""

from bergamotstream.policies import (  # noqa: F401
    leastloaded,
    predictive,
    roundrobin,
)
from bergamotstream.policies.base import (
    Policy,
    all_policy_names,
    get_policy_by_name,
)

__all__ = ('Policy', 'all_policy_names', 'get_policy_by_name')
