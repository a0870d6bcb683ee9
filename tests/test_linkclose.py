"""Test of closing a link to a peer."""

import asyncio

from bergamotstream import linktasks, outbox, records
from tests import fakecorekit


async def test_link_ends_when_its_peer_breaks_at_the_same_moment():
    """Guards against a stopping host that waits 30 s for a link.

    When hosts stop together, a link may fail while it is being closed; the
    task group then raised the fault and dropped the cancellation.
    """
    broken = asyncio.Event()

    class BreakingSender(linktasks.LinkSender):
        async def _run_connection(self):
            async with asyncio.TaskGroup() as group:
                group.create_task(self._break())
                await asyncio.Event().wait()

        async def _break(self):
            await broken.wait()
            raise ConnectionResetError

    peer = records.HostInfo('h2', 'parana', '127.0.0.1:1', '127.0.0.1:2')
    sender = BreakingSender(fakecorekit.make_settings(), peer, outbox.Outbox())
    task = asyncio.create_task(sender.run())
    await asyncio.sleep(0.01)
    broken.set()
    task.cancel()
    await asyncio.wait({task}, timeout=1)
    assert task.cancelled()
