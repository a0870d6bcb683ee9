"""
Stopping
~~~~~~~~

The planned stop of this host: it serves until callers have moved elsewhere
and no request is open.
"""

from bergamotstream import actions, components, events


class GracefulShutdown(components.Component):
    """Planned stop."""

    name = 'stopping'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start without a planned stop."""
        super().__init__(shared)
        self._stop_requested_ms = 0

    @components.handles(events.StopRequested)
    def on_stop_requested(
        self, event: events.StopRequested
    ) -> components.Actions:
        """Start a planned stop."""
        if not self.state.leaving:
            self.state.leaving = True
            self._stop_requested_ms = self.state.now_ms
        fields = {
            'host': self.state.host,
            'open_requests': self.state.open_requests,
        }
        return [actions.LogEvent('planned_stop', fields)]

    @components.handles(events.Tick)
    def on_tick(self, event: events.Tick) -> components.Actions:
        """End the process when callers have moved and nothing is open.

        Callers may use an address answer until it expires, so the host keeps
        serving at least that long.
        """
        if not self.state.leaving:
            return []
        timing = self.state.settings.timing
        elapsed_ms = self.state.now_ms - self._stop_requested_ms
        if elapsed_ms < timing.address_keep_ms:
            return []
        if self.state.open_requests and elapsed_ms < timing.stop_limit_ms:
            return []
        return [actions.StopProcess()]
