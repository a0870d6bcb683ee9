"""
Client of the etcd v3 JSON gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keys and values are base64 and 64-bit numbers are strings, as in the gateway's
published protobuf JSON mapping. A write is a transaction that compares the
key's ``mod_revision``; revision 0 means that the key is absent.
"""

import base64
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from bergamotstream import (
    actions,
    checkedconnections,
    events,
    keyvalues,
    records,
)

Body = dict[str, Any]
WATCH_TIMEOUT_MS = 30_000
MS_PER_S = 1_000
# Lines of a watch hold a value of up to 1 MB in base64.
READ_BUFFER_BYTES = 4_000_000
# Statuses of the gateway for requests that were rejected before a proposal.
NOT_EXECUTED_STATUSES = frozenset((400, 401, 403, 404, 405, 413, 429))
NOT_EXECUTED_TEXTS = ('no leader', 'too many requests', 'too large')

ANSWER_FAULTS = (aiohttp.ClientError, TimeoutError, ValueError, KeyError)


class NotExecuted(Exception):
    """The operation had no effect."""


class Compacted(Exception):
    """The revisions that a watch asked for have been compacted."""


@keyvalues.register
class EtcdClient(keyvalues.KeyValueClient):
    """Client for etcd and services that implement its JSON gateway.

    Options: ``url`` of the gateway, for example ``http://127.0.0.1:2379``,
    and ``timeout_ms`` of one call.
    """

    name = 'etcd'
    aliases = ('etcd3',)

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Connect on the first use."""
        super().__init__(url.rstrip('/'), timeout_ms)
        self._session: aiohttp.ClientSession | None = None

    async def perform(self, action: keyvalues.KvAction) -> events.KvAnswered:
        """Perform one action; faults become a status.

        A failed read or watch is always ``unavailable``, since it had no
        effect.
        """
        operation_id = action.operation_id
        is_change = isinstance(action, actions.KvWrite | actions.KvDelete)
        try:
            return await self._perform(action)
        except (NotExecuted, aiohttp.ClientConnectorError):
            return events.KvAnswered(operation_id, 'unavailable')
        except ANSWER_FAULTS:
            status: events.KvStatus = 'unknown' if is_change else 'unavailable'
            return events.KvAnswered(operation_id, status)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _perform(self, action: keyvalues.KvAction) -> events.KvAnswered:
        if isinstance(action, actions.KvRead):
            answer = await self._read(action)
            return events.KvAnswered(action.operation_id, 'ok', _items(answer))
        if isinstance(action, actions.KvWrite):
            return await self._write(action)
        if isinstance(action, actions.KvDelete):
            body = {'key': _encode(action.key)}
            if action.end_key:
                body['range_end'] = _encode(action.end_key)
            await self._post('/v3/kv/deleterange', body)
            return events.KvAnswered(action.operation_id, 'ok')
        found = await self._watch(action.key, action.after_revision)
        return events.KvAnswered(action.operation_id, 'ok', found)

    async def _read(self, action: actions.KvRead) -> Body:
        if not action.prefix:
            return await self._range(action.key)
        first = f'{action.after_key}\0' if action.after_key else action.key
        end = action.key[:-1] + chr(ord(action.key[-1]) + 1)
        body = {'key': _encode(first), 'range_end': _encode(end)}
        if action.limit:
            body['limit'] = str(action.limit)
        return await self._post('/v3/kv/range', body)

    async def _range(self, key: str) -> Body:
        return await self._post('/v3/kv/range', {'key': _encode(key)})

    async def _write(self, action: actions.KvWrite) -> events.KvAnswered:
        key = _encode(action.key)
        value = base64.b64encode(action.value).decode()
        compare = {
            'key': key,
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(action.expected_revision),
        }
        body = {
            'compare': [compare],
            'success': [{'request_put': {'key': key, 'value': value}}],
            'failure': [{'request_range': {'key': key}}],
        }
        answer = await self._post('/v3/kv/txn', body)
        if answer.get('succeeded'):
            revision = int(answer['header']['revision'])
            item = records.KvItem(action.key, action.value, revision)
            return events.KvAnswered(action.operation_id, 'ok', (item,))
        current_items = _items(answer['responses'][0]['response_range'])
        return events.KvAnswered(action.operation_id, 'conflict', current_items)

    async def _watch(
        self, key: str, after_revision: int
    ) -> tuple[records.KvItem, ...]:
        try:
            return await self._next_change(key, after_revision + 1)
        except TimeoutError:
            return _items(await self._range(key))
        except Compacted:
            return await self._watch_from_now(key, after_revision)

    async def _watch_from_now(
        self, key: str, after_revision: int
    ) -> tuple[records.KvItem, ...]:
        answer = await self._range(key)
        current_items = _items(answer)
        if current_items and current_items[0].revision > after_revision:
            return current_items
        store_revision = int(answer['header']['revision'])
        try:
            return await self._next_change(key, store_revision + 1)
        except TimeoutError:
            return current_items

    async def _next_change(
        self, key: str, start: int
    ) -> tuple[records.KvItem, ...]:
        create = {'key': _encode(key), 'start_revision': str(start)}
        timeout = aiohttp.ClientTimeout(
            total=WATCH_TIMEOUT_MS / MS_PER_S,
            sock_connect=self.timeout_ms / MS_PER_S,
        )
        async with self._open_session().post(
            f'{self.url}/v3/watch',
            json={'create_request': create},
            timeout=timeout,
        ) as response:
            _check_status(response.status, '')
            return await anext(_watched_items(response))

    async def _post(self, path: str, body: Body) -> Body:
        url = f'{self.url}{path}'
        async with self._open_session().post(url, json=body) as response:
            text = await response.text()
            _check_status(response.status, text)
        return json.loads(text)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self.timeout_ms / MS_PER_S)
            self._session = aiohttp.ClientSession(
                connector=checkedconnections.CheckedConnector(),
                timeout=timeout,
                read_bufsize=READ_BUFFER_BYTES,
            )
        return self._session


async def _watched_items(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[tuple[records.KvItem, ...]]:
    """Yield the newest item of each line with changes; () if deleted."""
    async for line in response.content:
        result = json.loads(line).get('result', {})
        if result.get('canceled'):
            raise Compacted
        changes = result.get('events', ())
        if changes:
            deleted = changes[-1].get('type') == 'DELETE'
            yield () if deleted else (_item(changes[-1]['kv']),)
    raise aiohttp.ClientPayloadError('the watch ended')


def _check_status(status: int, text: str) -> None:
    if status == 200:
        return
    if status in NOT_EXECUTED_STATUSES:
        raise NotExecuted(text)
    if any(phrase in text for phrase in NOT_EXECUTED_TEXTS):
        raise NotExecuted(text)
    # Other faults, such as 'request timed out', leave open whether a
    # proposal was applied.
    raise aiohttp.ClientPayloadError(f'{status}: {text}')


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _item(entry: Body) -> records.KvItem:
    return records.KvItem(
        key=base64.b64decode(entry['key']).decode(),
        value=base64.b64decode(entry.get('value', '')),
        revision=int(entry['mod_revision']),
    )


def _items(answer: Body) -> tuple[records.KvItem, ...]:
    return tuple(_item(entry) for entry in answer.get('kvs', ()))
