"""Simulated sessions between cores, with cut links.

The model gives the guarantees of real sessions: messages of a session are
delivered in order and exactly once, unless the session times out after
``SESSION_TIMEOUT_MS`` without a working connection. The undelivered messages
of a lost session are dropped.
"""

import collections
import dataclasses
import random

from mulberryloom_core import identity
from mulberryloom_core import messages

SESSION_TIMEOUT_MS = 3_000
LATENCY_MAX_MS = 5


@dataclasses.dataclass(slots=True)
class Session:
    """One session between two incarnations of processes.

    :param disconnected_since_ms: start of the time without a working
        connection; ``None`` while connected.
    """

    left: identity.PeerId
    right: identity.PeerId
    disconnected_since_ms: int | None = None

    def peer_of(self, end: identity.PeerId) -> identity.PeerId:
        """Return the opposite end of the session."""
        return self.right if end == self.left else self.left


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """A message with its sender and receiver."""

    sender: identity.PeerId
    receiver: identity.PeerId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SessionChange:
    """Notification to one end that a session was opened or lost."""

    receiver: identity.PeerId
    peer: identity.PeerId
    is_open: bool


@dataclasses.dataclass(slots=True)
class _InFlight:
    due_ms: int
    delivery: Delivery


class Network:
    """All sessions and links of one simulated system.

    :param rng: random source of message latencies.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sessions: dict[frozenset[identity.PeerId], Session] = {}
        self._queues: dict[
            tuple[identity.PeerId, identity.PeerId],
            collections.deque[_InFlight],
        ] = {}
        self._cuts: set[frozenset[str]] = set()
        self._changes: list[SessionChange] = []

    def open(self, left: identity.PeerId, right: identity.PeerId) -> None:
        """Open a session, unless one exists or the link is cut."""
        key = frozenset((left, right))
        if key in self._sessions or self.is_cut(left.name, right.name):
            return
        self._drop_superseded(left, right)
        self._drop_superseded(right, left)
        self._sessions[key] = Session(left, right)
        self._changes.append(SessionChange(left, right, is_open=True))
        self._changes.append(SessionChange(right, left, is_open=True))

    def has_session(
        self, left: identity.PeerId, right: identity.PeerId
    ) -> bool:
        """Tell whether a session exists, connected or not."""
        return frozenset((left, right)) in self._sessions

    def send(
        self,
        sender: identity.PeerId,
        receiver: identity.PeerId,
        message: messages.Message,
        now_ms: int,
    ) -> None:
        """Queue a message on a session; drop it if there is no session."""
        if not self.has_session(sender, receiver):
            return
        queue = self._queues.setdefault(
            (sender, receiver), collections.deque()
        )
        due_ms = now_ms + self._rng.randint(1, LATENCY_MAX_MS)
        if queue:
            due_ms = max(due_ms, queue[-1].due_ms)
        queue.append(_InFlight(due_ms, Delivery(sender, receiver, message)))

    def cut(self, left: str, right: str) -> None:
        """Hold back all messages between two processes."""
        self._cuts.add(frozenset((left, right)))

    def heal(self, left: str, right: str) -> None:
        """Restore the link between two processes."""
        self._cuts.discard(frozenset((left, right)))

    def heal_all(self) -> None:
        """Restore every link."""
        self._cuts.clear()

    def is_cut(self, left: str, right: str) -> bool:
        """Tell whether the link between two processes is cut."""
        return frozenset((left, right)) in self._cuts

    def take_changes(
        self, now_ms: int, live: set[identity.PeerId]
    ) -> list[SessionChange]:
        """Return notifications of sessions opened or lost since the last call.

        :param live: incarnations that are running and not frozen.
        """
        changes = self._changes
        self._changes = []
        for key, session in list(self._sessions.items()):
            self._update_connection(session, now_ms, live)
            since_ms = session.disconnected_since_ms
            if since_ms is None or now_ms - since_ms < SESSION_TIMEOUT_MS:
                continue
            del self._sessions[key]
            changes.extend(self._drop(session))
        return changes

    def take_due(
        self, now_ms: int, live: set[identity.PeerId]
    ) -> list[Delivery]:
        """Return messages whose latency has elapsed, oldest first.

        :param live: incarnations that are running and not frozen.
        """
        due = []
        for (sender, receiver), queue in self._queues.items():
            if self.is_cut(sender.name, receiver.name):
                continue
            if receiver not in live:
                continue
            while queue and queue[0].due_ms <= now_ms:
                due.append(queue.popleft())
        due.sort(key=lambda item: item.due_ms)
        return [item.delivery for item in due]

    def _drop_superseded(
        self, end: identity.PeerId, other: identity.PeerId
    ) -> None:
        """Drop sessions of ``end`` with older incarnations of ``other``."""
        for key, session in list(self._sessions.items()):
            if end not in (session.left, session.right):
                continue
            peer = session.peer_of(end)
            is_older = peer.incarnation < other.incarnation
            if peer.name == other.name and is_older:
                del self._sessions[key]
                self._changes.extend(self._drop(session))

    def _drop(self, session: Session) -> list[SessionChange]:
        self._queues.pop((session.left, session.right), None)
        self._queues.pop((session.right, session.left), None)
        return [
            SessionChange(session.left, session.right, is_open=False),
            SessionChange(session.right, session.left, is_open=False),
        ]

    def _update_connection(
        self, session: Session, now_ms: int, live: set[identity.PeerId]
    ) -> None:
        is_connected = (
            session.left in live
            and session.right in live
            and not self.is_cut(session.left.name, session.right.name)
        )
        if is_connected:
            session.disconnected_since_ms = None
        elif session.disconnected_since_ms is None:
            session.disconnected_since_ms = now_ms
