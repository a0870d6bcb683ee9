"""
Queries
~~~~~~~

HTTP handlers of address queries and operators' commands: each becomes an
event of the core, which answers with an action of the same id.
"""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web

from bergamotstream import actions, clock, errors, events, httpbodies

# An order to a target may wait until its weights are loaded.
ADMIN_TIMEOUT_S = 60
ADDRESS_TIMEOUT_S = 2
HTTP_OK = 200


class Queries:
    """Queries that wait for an answer of the core."""

    def __init__(
        self, incoming: asyncio.Queue[events.Event], time: clock.Clock
    ) -> None:
        """Put events into ``incoming``."""
        self._incoming = incoming
        self._time = time
        self._futures_by_query: dict[str, asyncio.Future[Any]] = {}

    def answer(
        self, action: actions.AnswerAddress | actions.AnswerAdmin
    ) -> None:
        """Pass the core's answer to the handler that waits for it."""
        future = self._futures_by_query.pop(action.query_id, None)
        if future is not None and not future.done():
            future.set_result(action)

    async def address(self, request: web.Request) -> web.Response:
        """Answer which hosts a workspace's callers should use."""
        workspace = request.query.get('workspace', '')
        if not workspace:
            raise errors.InvalidRequest('workspace: is missing')
        answer: actions.AnswerAddress = await self._query_core(
            lambda query_id: events.AddressAsked(query_id, workspace),
            ADDRESS_TIMEOUT_S,
        )
        hosts = [
            {
                'name': host.name,
                'availability_zone': host.availability_zone,
                'address': host.caller_address,
            }
            for host in answer.hosts
        ]
        return web.json_response({'hosts': hosts, 'keep_ms': answer.keep_ms})

    async def admin(self, request: web.Request) -> web.Response:
        """Answer an operator's command."""
        body = httpbodies.parse_object(await httpbodies.read_body(request))
        command, arguments = _parse_command(body)
        arguments['wall_ms'] = self._time.wall_ms()
        answer: actions.AnswerAdmin = await self._query_core(
            lambda query_id: events.AdminAsked(query_id, command, arguments),
            ADMIN_TIMEOUT_S,
        )
        return web.json_response(
            {
                'code': answer.code,
                'body': dict(answer.body),
                'retry_after_ms': answer.body.get('retry_after_ms', 0),
            },
            status=_http_status(answer),
        )

    async def _query_core(
        self, make_event: Callable[[str], events.Event], timeout_s: float
    ) -> Any:
        query_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._futures_by_query[query_id] = future
        self._incoming.put_nowait(make_event(query_id))
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise errors.KvUnavailable(
                'the host did not answer in time', run_state='may_have_run'
            ) from None
        finally:
            self._futures_by_query.pop(query_id, None)


def _parse_command(body: Mapping[str, Any]) -> tuple[str, dict[str, Any]]:
    command = body.get('command')
    arguments = body.get('arguments', {})
    if not isinstance(command, str) or not command:
        raise errors.InvalidRequest('command: must be a string')
    if not isinstance(arguments, dict):
        raise errors.InvalidRequest('arguments: must be an object')
    if not isinstance(arguments.get('author', ''), str):
        raise errors.InvalidRequest('arguments.author: must be a string')
    return command, dict(arguments)


def _http_status(answer: actions.AnswerAdmin) -> int:
    if not answer.code:
        return HTTP_OK
    kind = errors.get_error_by_code(answer.code)
    return errors.get_http_status(kind, answer.body.get('run_state', 'not_run'))
