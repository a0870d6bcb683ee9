"""
Load on a cell under measurement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Callers, engines with fixed durations, operators and a stored configuration.
"""

import collections
import itertools
from typing import Any

from bergamotstream import (
    actions,
    audit,
    bundleformat,
    bundleparts,
    events,
    partitions,
    records,
)

MS_PER_S = 1_000
FIRST_TOKEN_MS = 300
# 8.3 M tokens/s over 36,000 requests/s.
OUTPUT_TOKENS = 230
MS_PER_TOKEN = 20
PLAIN_MS = 50
SHORT_TOKENS = (200, 4_000)
LONG_TOKENS = 100_000
LONG_EVERY = 50
BLOCK_TOKENS = 512
DEADLINE_MS = 60_000
LOAD_START_MS = 5_000
WALL_MS = 1_790_000_000_000


def store_bundle(
    kv: Any, workspaces: int, models: tuple[str, ...], plain: str
) -> None:
    """Write the first configuration."""
    document = bundleformat.empty_document()
    for number in range(workspaces):
        document['workspaces'][f'workspace-{number:05}'] = {
            'priority': number % 2,
            'weight': 1.0,
            'max_concurrent': 100_000,
            'tokens_per_s': 1_000_000_000,
        }
    for name in (*models, plain):
        kind = 'plain' if name == plain else 'model'
        document['services'][name] = {
            'kind': kind,
            'slots': 64,
            'cold_limit': 64,
            'memory_tokens': 2_000_000,
        }
    parts, contents = bundleparts.PartSet().split(
        document, audit.empty_head().parts_by_section, 'first'
    )
    for part, content in contents.items():
        kv.store.put(f'{bundleparts.PART_PREFIX}{part}', content)
    entry = audit.Entry(
        0, 0, 'first', 'ana', 'berta', False, WALL_MS, 'first', [], ''
    )
    head, _ = audit.next_head(audit.empty_head(), parts, entry)
    kv.store.put(audit.HEAD_KEY, audit.encode_head(head))


class Load:
    """Callers and streams of one host."""

    def __init__(self, host: Any, shape: Any) -> None:
        """Send the first request after the cell has elected its owners."""
        self.finished: collections.Counter[str] = collections.Counter()
        self._host = host
        self._shape = shape
        self._numbers = itertools.count()
        self._running = host.cell.running_by_target
        if shape.requests and host.info.cell == 'cell-0001':
            host.cell.time.call_at(LOAD_START_MS, self._arrive)

    def poll(self) -> None:
        """Report the load of the watched targets."""
        for name in sorted(self._host.watched):
            report = records.LoadReport(
                target=name,
                start_id=f'{name}/1',
                running=tuple(self._running[name]),
                memory_tokens_used=0,
                age_ms=50,
            )
            self._host.handle(events.LoadReported(report))

    def perform(self, action: actions.Action) -> None:
        """Run an attempt or count the end of a request."""
        if isinstance(action, actions.Dispatch):
            self._dispatch(action)
        elif isinstance(action, actions.FinishRequest):
            self.finished['finished'] += 1
        elif isinstance(action, actions.RefuseRequest):
            self.finished[action.code] += 1
        elif isinstance(action, actions.CancelAttempt):
            self._running[action.target].pop(action.attempt_id, None)

    def _arrive(self) -> None:
        cell = self._host.cell
        gap_ms = cell.random.expovariate(self._shape.requests) * MS_PER_S
        cell.time.call_after(max(round(gap_ms), 1), self._arrive)
        request = self._request()
        self._host.handle(events.RequestReceived(request, DEADLINE_MS))

    def _request(self) -> records.RequestSpec:
        cell = self._host.cell
        number = next(self._numbers)
        name = f'{self._host.info.name}-request-{number:06}'
        workspace = cell.random.randrange(self._shape.workspaces)
        digest = partitions.hash_text(name)
        claimed = cell.random.random() < self._shape.claimed_share
        tokens = cell.random.randint(*SHORT_TOKENS)
        if number % LONG_EVERY == 0:
            tokens = LONG_TOKENS
        return records.RequestSpec(
            request_id=name,
            workspace=f'workspace-{workspace:05}',
            service='plain-1' if claimed else f'model-{number % 5 + 1}',
            prompt_tokens=1 if claimed else tokens,
            max_output_tokens=1 if claimed else OUTPUT_TOKENS,
            fingerprint=digest,
            body_digest=digest,
            prefix_hashes=() if claimed else _hashes(name, tokens),
            idempotency_key=f'{WALL_MS}-{name}' if claimed else '',
        )

    def _dispatch(self, action: actions.Dispatch) -> None:
        cell = self._host.cell
        attempt_id = action.attempt_id
        name = action.targets[-1].name
        self._running[name][attempt_id] = True
        is_plain = cell.targets_by_name[name].service.startswith('plain')
        duration_ms = PLAIN_MS
        self._later(1, events.AttemptStarted(attempt_id))
        if not is_plain:
            duration_ms = FIRST_TOKEN_MS + OUTPUT_TOKENS * MS_PER_TOKEN
            self._later(FIRST_TOKEN_MS, events.FirstToken(attempt_id))
        cell.time.call_after(duration_ms, self._finish, name, attempt_id)

    def _finish(self, target: str, attempt_id: str) -> None:
        if self._running[target].pop(attempt_id, None):
            self._host.handle(
                events.AttemptFinished(attempt_id, OUTPUT_TOKENS, bytes(200))
            )

    def _later(self, delay_ms: int, event: events.Event) -> None:
        self._host.cell.time.call_after(delay_ms, self._host.handle, event)


class Operator:
    """Changes the limit of one workspace after another."""

    def __init__(self, host: Any, rate: float) -> None:
        """Make ``rate`` changes a second through ``host``."""
        self._host = host
        self._period_ms = round(MS_PER_S / rate)
        self._numbers = itertools.count(1)
        self.answers: collections.Counter[str] = collections.Counter()
        host.load.perform = self._perform
        host.cell.time.call_at(LOAD_START_MS, self._begin)

    def _begin(self) -> None:
        self._host.cell.time.call_after(self._period_ms, self._begin)
        number = next(self._numbers)
        bundle = self._host.core.state.bundle
        workspace = number % self._host.cell.shape.workspaces
        change = {
            'path': f'workspaces/workspace-{workspace:05}/max_concurrent',
            'value': 100_000 + number,
        }
        self._ask(
            'config.draft',
            author='ana',
            base_version=bundle.version if bundle else 0,
            changes=[change],
        )

    def _perform(self, action: actions.Action) -> None:
        if not isinstance(action, actions.AnswerAdmin):
            return
        command = action.query_id.partition('/')[0]
        self.answers[f'{command} {action.code or "ok"}'] += 1
        if action.code:
            return
        draft = action.body.get('draft', '')
        if command == 'config.draft':
            self._ask('config.sign', signer='berta', draft=draft)
        elif command == 'config.sign':
            self._ask('config.roll', operator='ana', draft=draft)

    def _ask(self, command: str, **arguments: Any) -> None:
        query_id = f'{command}/{next(self._numbers)}'
        asked = events.AdminAsked(
            query_id,
            command,
            {'wall_ms': WALL_MS + self._host.cell.time.now_ms, **arguments},
        )
        self._host.cell.time.call_after(1, self._host.handle, asked)


def _hashes(name: str, tokens: int) -> tuple[int, ...]:
    return tuple(
        partitions.hash_text(f'{name}/{block}')
        for block in range(tokens // BLOCK_TOKENS)
    )
