"""
JSON exporter
~~~~~~~~~~~~~

Metrics as one JSON object.
"""

import json

from bergamotstream import exporters, metrics


@exporters.register
class JsonExporter(exporters.Exporter):
    """Counters, gauges and summaries as lists of objects; no options."""

    name = 'json'
    content_type = 'application/json'

    def render(self, snapshot: metrics.Snapshot) -> str:
        """Return the JSON text."""
        counters = [
            {**series._asdict(), 'count': count}
            for series, count in sorted(snapshot.counters.items())
        ]
        summaries = [
            {
                **series._asdict(),
                'count': summary.observed,
                'quantiles_ms': summary.values_by_quantile,
            }
            for series, summary in sorted(snapshot.summaries.items())
        ]
        gauges = [
            {**series._asdict(), 'amount': amount}
            for series, amount in sorted(snapshot.gauges.items())
        ]
        return json.dumps(
            {'counters': counters, 'gauges': gauges, 'summaries': summaries}
        )
