"""Components of one entry that its request handlers share."""

import dataclasses
import random
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core.version import configuration as configurations

if t.TYPE_CHECKING:
    from mulberryloom_core import messages

    from ..request.attempts import Attempts
    from ..request.budget import RetryBudgets
    from ..request import lifecycle
    from ..request.router import InFlightResources
    from ..request.router import Router
    from .burn import BurnRateTracker
    from .circuit import Circuits
    from .claims import Claims
    from .journal import Journal
    from .membership import Membership
    from .outbox import Outbox
    from .shards import Shards


_Kind = exceptions.ErrorKind

_WORKER_FAILURE_KINDS = frozenset(
    {_Kind.BACKEND_FAILED, _Kind.BACKEND_UNREACHABLE, _Kind.WORKER_LOST}
)


@dataclasses.dataclass(slots=True)
class Context:
    """Components and state that the request handlers of an entry share.

    :param name: name of this entry.
    :param random: random number generator of the entry.
    :param configuration: active configuration.
    :param wall_offset_ms: wall-clock time minus the core's monotonic time.
    """

    name: str
    incarnation: int
    random: random.Random
    outbox: 'Outbox'
    membership: 'Membership'
    shards: 'Shards'
    circuits: 'Circuits'
    budgets: 'RetryBudgets'
    in_flight: 'InFlightResources'
    router: 'Router'
    claims: 'Claims'
    attempts: 'Attempts'
    journal: 'Journal'
    burn: 'BurnRateTracker'
    configuration: configurations.Configuration
    wall_offset_ms: int = 0

    def wall_ms(self, now: int) -> int:
        """Return wall-clock time, in milliseconds since the Unix epoch."""
        return now + self.wall_offset_ms

    def evaluate_attempt(
        self,
        request: 'lifecycle.Request',
        outcome: 'messages.Outcome',
        worker: str,
        now: int,
    ) -> 'messages.Outcome | None':
        """Decide whether a request ends with the outcome of an attempt.

        :param worker: worker that ran the attempt or was to run it.
        :return: the final outcome, or ``None`` if another attempt is
            needed.
        """
        is_counted = self.record_worker_outcome(worker, outcome, now)
        return request.judge(
            outcome,
            worker if is_counted else None,
            self.budgets.of(request.work.account),
            now,
        )

    def record_worker_outcome(
        self, worker: str, outcome: 'messages.Outcome', now: int
    ) -> bool:
        """Update a worker's circuit breaker from the outcome of an attempt.

        :return: whether a failure counts against the request, towards
            ``lifecycle.MAX_HEALTHY_WORKER_FAILURES``. Only
            ``BACKEND_FAILED`` does, so neither ``BACKEND_UNREACHABLE`` nor
            ``WORKER_LOST``. It does not count if the worker was quarantined,
            since it then probably fails requests that other workers
            complete. True after a success, where it has no effect.
        """
        error = outcome.error
        if error is None:
            self.circuits.record_success(worker)
            return True
        was_open = self.circuits.is_open(worker)
        if error.kind in _WORKER_FAILURE_KINDS:
            self.circuits.record_failure(worker, now)
        else:
            self.circuits.end_probe(worker)
        return error.kind is _Kind.BACKEND_FAILED and not was_open
