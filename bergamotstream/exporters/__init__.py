"""
Exporters
~~~~~~~~~

Plug-ins for the output formats of metrics.
"""

import abc
from typing import ClassVar

from bergamotstream import metrics, plugins

_exporters_by_name: dict[str, type['Exporter']] = {}


class Exporter(abc.ABC):
    """Base class of exporters; ``aliases`` are further names for look-up."""

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()
    content_type: ClassVar[str] = 'text/plain'

    @abc.abstractmethod
    def render(self, snapshot: metrics.Snapshot) -> str:
        """Return the metrics as text."""


def register(exporter: type[Exporter]) -> type[Exporter]:
    """Register an exporter class under its name and aliases."""
    for name in (exporter.name, *exporter.aliases):
        _exporters_by_name[name] = exporter
    return exporter


def get_exporter_by_name(name: str) -> type[Exporter]:
    """Return the exporter class; raises ``KeyError`` for another name."""
    plugins.import_plugins('bergamotstream.exporters')
    return _exporters_by_name[name]
