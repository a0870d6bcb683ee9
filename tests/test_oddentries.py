"""Odd entries, configurations and records of other writers."""

import asyncio

import pytest

from bergamotstream.platform import documents
from tests import oddkit
from tests import platformkit as kit


ODD_BLAMED = ('f' * 17, 'f' * 180, '-5', '0x12', '1_0', ' 1', '', 'g' * 16)


@pytest.mark.parametrize('rest', ODD_BLAMED)
def test_odd_record_of_a_blamed_request_blames_none(rest):
    """Guards against fingerprints that a message cannot hold."""
    with pytest.raises(documents.Undecodable):
        documents.decode_blamed_key(rest)


async def test_odd_record_of_a_blamed_request_ends_no_host():
    """Guards against one record that ends all hosts."""
    async with kit.running_system(2) as system:
        for rest in ODD_BLAMED:
            await system.store.put(f'bergamotstream/blamed/{rest}', b'{}')
        await asyncio.sleep(1.2)
        assert oddkit.is_alive(system)
