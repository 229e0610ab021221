"""Starts and stops of runs whose outcome is not known."""

import dataclasses

from mulberryloom_core import messages


@dataclasses.dataclass(slots=True)
class PendingOrder:
    """A start or stop whose outcome is not known.

    :param is_in_flight: whether a call has been sent and not returned.
    :param next_attempt_ms: earliest time of the next call.
    :param attempts: number of calls so far.
    """

    is_in_flight: bool = False
    next_attempt_ms: int = 0
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class PendingStop(PendingOrder):
    """A stop whose outcome is not known.

    :param expires_ms: time from which no call can start the run any more.
    :param spares_listed_run: whether the stop waits for the lists, and is
        dropped if they show that the run was begun.
    """

    expires_ms: int = 0
    spares_listed_run: bool = False


@dataclasses.dataclass(slots=True)
class PendingStart(PendingOrder):
    """A start whose outcome is not known.

    :param expires_ms: time after which it must not be sent any more.
    :param unanswered_attempts: number of earlier calls without a reply,
        which the worker may still carry out.
    """

    expires_ms: int = 0
    unanswered_attempts: int = 0
    start: messages.StartRun = dataclasses.field(
        default_factory=lambda: messages.StartRun('', 0, '', '')
    )
