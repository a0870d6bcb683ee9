"""
Attempt tasks
~~~~~~~~~~~~~

The attempts dispatched by this host, one asyncio task each.
"""

import asyncio

import aiohttp

from bergamotstream import (
    actions,
    checkedconnections,
    engines,
    openanswers,
    settings,
)


def new_client_session(
    config: settings.Settings,
    record_invalid: checkedconnections.InvalidRecorder = (
        checkedconnections.log_invalid
    ),
) -> aiohttp.ClientSession:
    """Return an HTTP client that opens a new connection for each attempt.

    Responses with invalid heads raise ``responseheads.InvalidHead``.
    """
    connect_s = config.timing.silent_ms / engines.MS_PER_S
    return aiohttp.ClientSession(
        connector=checkedconnections.CheckedConnector(
            record_invalid, limit=0, force_close=True
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
    )


class AttemptTasks:
    """Starts attempts and closes their streams."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._tasks_by_attempt_id: dict[str, asyncio.Task[None]] = {}

    def start(
        self,
        client: engines.EngineClient,
        dispatch: actions.Dispatch,
        answer: openanswers.OpenAnswer,
    ) -> None:
        """Run an attempt of an open request."""
        self.drop(dispatch.attempt_id)
        answer.switch_attempt(dispatch)
        attempt = engines.Attempt(
            dispatch, answer.request, answer.prompt, answer.text, answer
        )
        task = asyncio.create_task(client.run(attempt))
        self._tasks_by_attempt_id[dispatch.attempt_id] = task
        task.add_done_callback(lambda _: self._remove_finished(dispatch, task))

    def drop(self, attempt_id: str) -> None:
        """Close the stream of an attempt without emitting an event."""
        task = self._tasks_by_attempt_id.pop(attempt_id, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Close the streams of all attempts."""
        for attempt_id in tuple(self._tasks_by_attempt_id):
            self.drop(attempt_id)

    def _remove_finished(
        self, dispatch: actions.Dispatch, task: asyncio.Task[None]
    ) -> None:
        if self._tasks_by_attempt_id.get(dispatch.attempt_id) is task:
            self._tasks_by_attempt_id.pop(dispatch.attempt_id)
