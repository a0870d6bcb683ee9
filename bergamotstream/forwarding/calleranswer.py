"""
Caller answer
~~~~~~~~~~~~~

The answer to one caller: started with the headers of the first target, written
event by event, and either completed or aborted, so that a failed answer looks
incomplete.
"""

import json
from typing import Final

import multidict
from aiohttp import web

from bergamotstream import errors
from bergamotstream.platform import protocol

MS_PER_S: Final = 1_000


class CallerAnswer:
    """The streamed answer on one connection."""

    def __init__(self, request: web.BaseRequest, *, is_last: bool) -> None:
        """Start with nothing written; ``is_last`` closes the connection."""
        self._request = request
        self._is_last = is_last
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Tell whether a status was sent to the caller."""
        return self._response is not None

    async def write(
        self,
        status: int,
        headers: multidict.CIMultiDict[str],
        encoded: bytes,
    ) -> web.StreamResponse:
        """Write bytes; ``status`` and ``headers`` are used the first time.

        Raises ``CallerGone``.
        """
        response = self._response
        if response is None:
            response = web.StreamResponse(status=status, headers=headers)
            self._response = response
            if self._is_last:
                response.force_close()
        try:
            await self._send(response, encoded)
        except ConnectionError as fault:
            raise errors.CallerGone(repr(fault)) from fault
        return response

    async def end(self, response: web.StreamResponse) -> None:
        """Complete the answer; raises ``CallerGone``."""
        try:
            await response.write_eof()
        except ConnectionError as fault:
            raise errors.CallerGone(repr(fault)) from fault

    async def _send(self, response: web.StreamResponse, encoded: bytes) -> None:
        if not response.prepared:
            await response.prepare(self._request)
        if encoded:
            await response.write(encoded)

    def abort(self) -> web.StreamResponse:
        """Abort the connection in the middle of the answer."""
        if self._request.transport is not None:
            self._request.transport.abort()
        if self._response is None:
            return web.StreamResponse()
        return self._response


def error_answer(error: errors.ServiceError, attempt_id: str) -> web.Response:
    """Return the host's own answer to a request that failed."""
    headers = multidict.CIMultiDict({'Content-Type': 'application/json'})
    if attempt_id:
        headers[protocol.ATTEMPT_ID] = attempt_id
    if error.retry_after_ms:
        seconds = error.retry_after_ms / MS_PER_S
        headers[protocol.RETRY_AFTER] = f'{seconds:.2f}'
    body = {
        'code': error.code,
        'run_state': error.run_state,
        'message': str(error),
    }
    return web.Response(
        status=error.http_status,
        headers=headers,
        body=json.dumps(body).encode(),
    )
