"""
Prometheus exporter
~~~~~~~~~~~~~~~~~~~

Text exposition format, version 0.0.4.
"""

from collections.abc import Iterator, Mapping

from bergamotstream import exporters, metrics

PREFIX = 'bergamotstream_'


@exporters.register
class PrometheusExporter(exporters.Exporter):
    """Counters, gauges and summaries as text; no options."""

    name = 'prometheus'
    aliases = ('prom', 'text')

    def render(self, snapshot: metrics.Snapshot) -> str:
        """Return one line for each value."""
        lines = [
            *_value_lines(snapshot.counters, 'counter', '_total'),
            *_value_lines(snapshot.gauges, 'gauge', ''),
            *_summary_lines(snapshot),
        ]
        return '\n'.join([*lines, ''])


def _value_lines(
    values_by_series: Mapping[metrics.Series, float], kind: str, suffix: str
) -> Iterator[str]:
    """Yield counters or gauges; a type line precedes each metric."""
    declared_name = ''
    for series, amount in sorted(values_by_series.items()):
        name = f'{PREFIX}{series.metric}{suffix}'
        if name != declared_name:
            yield f'# TYPE {name} {kind}'
        declared_name = name
        yield f'{name}{_labels(series)} {amount}'


def _summary_lines(snapshot: metrics.Snapshot) -> Iterator[str]:
    declared_name = ''
    for series, summary in sorted(snapshot.summaries.items()):
        name = f'{PREFIX}{series.metric}_ms'
        if name != declared_name:
            yield f'# TYPE {name} summary'
        declared_name = name
        for quantile, duration_ms in summary.values_by_quantile.items():
            labels = _labels(series, f'quantile="{quantile}"')
            yield f'{name}{labels} {duration_ms}'
        yield f'{name}_count{_labels(series)} {summary.observed}'


def _labels(series: metrics.Series, *extra_labels: str) -> str:
    pairs = list(extra_labels)
    if series.label:
        escaped = series.label.replace('\\', r'\\').replace('"', r'\"')
        pairs.insert(0, 'label="{0}"'.format(escaped.replace('\n', r'\n')))
    return '{{{0}}}'.format(','.join(pairs)) if pairs else ''
