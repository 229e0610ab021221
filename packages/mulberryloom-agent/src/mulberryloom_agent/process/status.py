"""Status document and metrics of the agent."""

import dataclasses
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import options
from mulberryloom_core import messages
from mulberryloom_core.process import metrics as metrics_module

from . import core as cores

if t.TYPE_CHECKING:
    import aioprometheus


@dataclasses.dataclass(frozen=True, slots=True)
class AgentMetrics:
    """Prometheus metrics of one agent.

    :param started: requests sent to the backend server.
    :param ended: outcomes reported to entries, by error kind; ``finished``
        without error.
    :param heartbeats: heartbeats sent to entries.
    :param tasks: tasks in the ledger, by phase.
    :param free: free amounts, by resource.
    :param wire: transport counters of the node, by name.
    """

    started: 'aioprometheus.Counter'
    ended: 'aioprometheus.Counter'
    heartbeats: 'aioprometheus.Counter'
    tasks: 'aioprometheus.Gauge'
    free: 'aioprometheus.Gauge'
    wire: 'aioprometheus.Gauge'

    @classmethod
    def from_metrics(cls, metrics: metrics_module.Metrics) -> 'AgentMetrics':
        """Register the metrics."""
        return cls(
            metrics.counter(
                'mulberryloom_agent_tasks_started_total',
                'Requests given to the backend server.',
            ),
            metrics.counter(
                'mulberryloom_agent_tasks_ended_total',
                'Ends told to entries, by kind.',
            ),
            metrics.counter(
                'mulberryloom_agent_heartbeats_total',
                'Heartbeats sent to entries.',
            ),
            metrics.gauge(
                'mulberryloom_agent_tasks', 'Tasks in the ledger, by phase.'
            ),
            metrics.gauge(
                'mulberryloom_agent_free', 'Free amounts, by resource.'
            ),
            metrics.gauge(
                'mulberryloom_agent_wire', 'Totals of the sessions, by name.'
            ),
        )


class Status:
    """Status of the agent, read from its core.

    :param clock: clock for the ages of the tasks.
    :param node_counters: transport counters of the node.
    """

    __slots__ = ('_agent_metrics', '_clock', '_core', '_node_counters')

    def __init__(
        self,
        core: cores.AgentCore,
        clock: clocks.Clock,
        agent_metrics: AgentMetrics,
        node_counters: options.NodeCounters,
    ) -> None:
        self._core = core
        self._clock = clock
        self._agent_metrics = agent_metrics
        self._node_counters = node_counters

    def has_backend(self) -> bool:
        """Tell whether a backend server has announced itself."""
        return bool(self._core.worker.backend.address)

    def refresh_metrics(self) -> None:
        """Update the gauges from the current state."""
        counts = dict.fromkeys(messages.TaskPhase, 0)
        for task in self._core.worker.tasks_by_key.values():
            counts[task.phase] += 1
        for phase, count in counts.items():
            self._agent_metrics.tasks.set({'phase': phase.value}, count)
        free = dataclasses.asdict(self._core.worker.ledger.free)
        for resource, amount in free.items():
            self._agent_metrics.free.set({'resource': resource}, amount)
        for name, total in dataclasses.asdict(self._node_counters).items():
            self._agent_metrics.wire.set({'name': name}, total)

    def status(self) -> dict[str, t.Any]:
        """Return the status as a JSON object."""
        state = self._core.state(self._clock.now_ms())
        return {
            'worker': state.worker,
            'incarnation': state.incarnation,
            'data_centre': state.data_centre,
            'rack': state.rack,
            'address': state.address,
            'config_version': self._core.config_version(),
            'health': state.health.value,
            'services': state.services,
            'capacity': dataclasses.asdict(state.capacity),
            'free': dataclasses.asdict(self._core.worker.ledger.free),
            'entries': self._core.connected_entries,
            'tasks': [
                {
                    'request_id': task.request_id,
                    'attempt': task.attempt,
                    'account': task.account,
                    'service': task.service,
                    'method': task.method,
                    'phase': task.phase.value,
                    'positions': task.positions,
                    'age_ms': task.age_ms,
                    'peak_memory_mb': task.peak_memory_mb,
                }
                for task in state.tasks
            ],
        }
