"""A host that runs alone, as a process, around a core that has one target.

Arguments: the address for callers, that of the target, and ``[limits]`` as
JSON.
"""

import asyncio
import json
import sys

from bergamotstream import hostprocess, settings
from tests import fakecorekit


async def main(caller, target, limits):
    """Serve until the process is killed."""
    config = fakecorekit.make_settings(
        caller_address=caller, limits=settings.Limits(**json.loads(limits))
    )
    await hostprocess.HostProcess(
        config,
        fakecorekit.OneTargetCore(config, target),
        fakecorekit.NoKeyValues(),
        asyncio.Queue(),
        fakecorekit.NoLinks(),
    ).run()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
