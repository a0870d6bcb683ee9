"""
Report
~~~~~~

Prints times to first token by prompt length and counts of outcomes.
"""

import collections

from hdrh import histogram

from bergamotstream import metrics, records
from demo import caller

STATES = ('answered', 'refused', 'failed', 'wrong')


def length_label(outcome: caller.Outcome) -> str:
    """Return the row of an outcome: its length class or ``plain``."""
    request = outcome.request
    if request.plain:
        return f'plain {request.kind}'
    tokens = request.body['prompt_tokens']
    if tokens == records.MAX_PROMPT_TOKENS:
        return '1,000,000'
    return records.length_class(tokens)


def print_report(outcomes: list[caller.Outcome]) -> None:
    """Print one row for each kind of request and all that went wrong."""
    rows = collections.defaultdict(list)
    for outcome in outcomes:
        rows[length_label(outcome)].append(outcome)
    print(f'{"prompts":<16}{"p50 ms":>8}{"p95 ms":>8}{"p99 ms":>8}', end='')
    print(''.join(f'{state:>10}' for state in STATES))
    for label, group in sorted(rows.items()):
        print(_row(label, group))
    for unanswered in outcomes:
        if unanswered.state != 'answered':
            tokens = unanswered.request.body.get('prompt_tokens', 0)
            print(
                f'  request {unanswered.request.number} ({tokens} tokens): '
                f'{unanswered.state}, {unanswered.detail}'
            )


def _row(label: str, group: list[caller.Outcome]) -> str:
    recorded = histogram.HdrHistogram(
        metrics.LOWEST_MS, metrics.HIGHEST_MS, metrics.SIGNIFICANT_DIGITS
    )
    for entry in group:
        if entry.state == 'answered':
            recorded.record_value(max(entry.ttft_ms, metrics.LOWEST_MS))
    values = metrics.quantiles(recorded).values()
    counts = collections.Counter(outcome.state for outcome in group)
    return (
        f'{label:<16}'
        + ''.join(f'{value:>8}' for value in values)
        + ''.join(f'{counts[state]:>10}' for state in STATES)
    )
