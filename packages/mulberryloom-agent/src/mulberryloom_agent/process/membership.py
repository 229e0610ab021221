"""Sessions to the entries that the agent reports to, and heartbeats."""

import dataclasses
import hashlib
import random as randoms
import typing as t

from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages

from .. import effects

HEARTBEAT_INTERVAL_MS = 1_000
# Number of entries to report to where there are more than
# ``MAX_ENTRIES_TO_COVER``.
TARGET_SESSIONS = 2
# With at most this many entries, the agent reports to all of them.
MAX_ENTRIES_TO_COVER = 3
# Time to connect to an entry before the agent backs off from it.
CONNECT_TIMEOUT_MS = 3_000
# Most by which one heartbeat interval is shortened, to spread the agents
# that connect to an entry at the same time.
MAX_JITTER_MS = 900
ENTRY_BACKOFF_MS = 10_000
# Outcomes sent this long before a session was lost may not have arrived.
RESEND_WINDOW_MS = 10_000


@dataclasses.dataclass(slots=True)
class Session:
    """Session to one incarnation of an entry.

    :param entries: entries listed in its last heartbeat reply.
    :param sent_version: version of the worker state last sent to it;
        ``-1`` if the next heartbeat must carry the state.
    :param due_ms: time at which the next heartbeat is due.
    """

    peer: identity.PeerId
    entries: list[messages.EntryInfo]
    sent_version: int = -1
    due_ms: int = 0

    def schedule(self, jitter_ms: int, now_ms: int) -> None:
        """Schedule the next heartbeat after sending one.

        :param jitter_ms: by how much to shorten the interval.
        """
        self.due_ms += HEARTBEAT_INTERVAL_MS - jitter_ms
        if self.due_ms <= now_ms:
            self.due_ms = now_ms + HEARTBEAT_INTERVAL_MS


class StateSource(t.Protocol):
    """Source of the contents of heartbeats."""

    def state_version(self) -> int:
        """Return the version of the worker state."""

    def config_version(self) -> int:
        """Return the configuration version in force."""

    def state(self, now_ms: int) -> messages.WorkerState:
        """Return the state of the worker."""


class Membership:
    """Sessions to the entries of the region.

    The agent reports to the first ``TARGET_SESSIONS`` entries in rendezvous
    order of its worker, or to all entries if there are few. An unreachable
    entry is moved to the end of the order for ``ENTRY_BACKOFF_MS``. The
    bootstrap addresses of the settings are used whenever no entry is
    connected.

    :param peer_id: identity of this agent.
    :param bootstrap_addresses: ``host:port`` of entries to start from.
    :param random: random source of the heartbeat jitter.
    """

    __slots__ = (
        '_backoff_until_ms_by_name',
        '_bootstrap_addresses',
        '_disconnected_ms_by_name',
        '_entry_infos_by_name',
        '_peer_id',
        '_random',
        '_requested_ms_by_address',
        '_sessions_by_name',
    )

    def __init__(
        self,
        peer_id: identity.PeerId,
        bootstrap_addresses: tuple[str, ...],
        random: randoms.Random,
    ) -> None:
        self._peer_id = peer_id
        self._random = random
        self._bootstrap_addresses = bootstrap_addresses
        self._requested_ms_by_address: dict[str, int] = {}
        self._backoff_until_ms_by_name: dict[str, int] = {}
        self._entry_infos_by_name: dict[str, messages.EntryInfo] = {}
        self._disconnected_ms_by_name: dict[str, int] = {}
        self._sessions_by_name: dict[str, Session] = {}

    @property
    def connected_names(self) -> list[str]:
        """Names of the entries with a session."""
        return list(self._sessions_by_name)

    def send(self, entry: str, message: messages.Message) -> core_effects.Send:
        """Return the output that sends a message to an entry."""
        info = self._entry_infos_by_name.get(entry)
        address = info.address if info else ''
        return core_effects.Send(identity.Role.ENTRY, entry, message, address)

    def broadcast(self, message: messages.Message) -> list[effects.Output]:
        """Return outputs that send a message to every connected entry."""
        return [self.send(name, message) for name in self._sessions_by_name]

    def on_connected(self, peer: identity.PeerId, now_ms: int) -> int | None:
        """Record a new session; its first heartbeat is due at once.

        :return: time since when messages on the previous session to that
            entry may be lost; ``None`` if there was no previous session.
        """
        lost_ms = self._disconnected_ms_by_name.pop(peer.name, None)
        if peer.name in self._sessions_by_name:
            lost_ms = now_ms
        self._sessions_by_name[peer.name] = Session(peer, [], due_ms=now_ms)
        self._backoff_until_ms_by_name.pop(peer.name, None)
        return None if lost_ms is None else lost_ms - RESEND_WINDOW_MS

    def on_lost(self, peer: identity.PeerId, now_ms: int) -> None:
        """Remove a session that has ended, and back off from its entry."""
        session = self._sessions_by_name.get(peer.name)
        if session is None or session.peer != peer:
            return
        del self._sessions_by_name[peer.name]
        self._disconnected_ms_by_name[peer.name] = now_ms
        self._backoff_until_ms_by_name[peer.name] = now_ms + ENTRY_BACKOFF_MS

    def on_heartbeat_reply(
        self, peer: identity.PeerId, reply: messages.HeartbeatReply
    ) -> None:
        """Apply an entry's reply to a heartbeat."""
        session = self._sessions_by_name.get(peer.name)
        if session is None or session.peer != peer:
            return
        if reply.entries:
            session.entries = reply.entries
        if reply.wants_state:
            session.sent_version = -1
        self._merge_entry_lists()

    def tick(self, source: StateSource, now_ms: int) -> list[effects.Output]:
        """Open and close connections, and send the heartbeats that are due."""
        targets = self._select_targets(now_ms)
        outputs = self._update_connections(targets, now_ms)
        outputs += self._send_due_heartbeats(targets, source, now_ms)
        return outputs

    def _merge_entry_lists(self) -> None:
        infos_by_name: dict[str, messages.EntryInfo] = {}
        for session in self._sessions_by_name.values():
            for info in session.entries:
                known = infos_by_name.get(info.name)
                if known is None or known.incarnation < info.incarnation:
                    infos_by_name[info.name] = info
        if infos_by_name:
            self._entry_infos_by_name = infos_by_name

    def _select_targets(self, now_ms: int) -> list[messages.EntryInfo]:
        """Choose the entries to report to; those in back-off come last."""
        ordered = sorted(
            self._entry_infos_by_name.values(), key=self._rendezvous_hash
        )
        reachable = [
            info
            for info in ordered
            if self._backoff_until_ms_by_name.get(info.name, 0) <= now_ms
        ]
        count = (
            len(ordered)
            if len(ordered) <= MAX_ENTRIES_TO_COVER
            else TARGET_SESSIONS
        )
        backing_off = [info for info in ordered if info not in reachable]
        return (reachable + backing_off)[:count]

    def _rendezvous_hash(self, info: messages.EntryInfo) -> bytes:
        hash_input = f'{self._peer_id.name}/{info.name}'.encode()
        return hashlib.blake2b(hash_input, digest_size=8).digest()

    def _update_connections(
        self, targets: list[messages.EntryInfo], now_ms: int
    ) -> list[effects.Output]:
        """Connect to the targets and disconnect from other entries.

        Without any session the bootstrap addresses are tried as well. With
        sessions, but not to all targets, no connection is given up yet.
        """
        wanted_addresses = {info.address for info in targets}
        has_all_targets = bool(targets) and all(
            info.name in self._sessions_by_name for info in targets
        )
        if not self._sessions_by_name:
            wanted_addresses.update(self._bootstrap_addresses)
        elif not has_all_targets:
            wanted_addresses.update(self._requested_ms_by_address)
        outputs: list[effects.Output] = []
        for address in sorted(
            wanted_addresses - self._requested_ms_by_address.keys()
        ):
            self._requested_ms_by_address[address] = now_ms
            outputs.append(effects.ConnectEntry(address))
        for address in sorted(
            self._requested_ms_by_address.keys() - wanted_addresses
        ):
            del self._requested_ms_by_address[address]
            outputs.append(effects.DisconnectEntry(address))
        self._back_off_unreachable(targets, now_ms)
        return outputs

    def _back_off_unreachable(
        self, targets: list[messages.EntryInfo], now_ms: int
    ) -> None:
        """Back off from targets that are not connected in time."""
        for info in targets:
            requested_ms = self._requested_ms_by_address.get(
                info.address, now_ms
            )
            is_overdue = now_ms - requested_ms >= CONNECT_TIMEOUT_MS
            is_connected = info.name in self._sessions_by_name
            is_backing_off = (
                self._backoff_until_ms_by_name.get(info.name, 0) > now_ms
            )
            if is_overdue and not is_connected and not is_backing_off:
                until_ms = now_ms + ENTRY_BACKOFF_MS
                self._backoff_until_ms_by_name[info.name] = until_ms

    def _send_due_heartbeats(
        self,
        targets: list[messages.EntryInfo],
        source: StateSource,
        now_ms: int,
    ) -> list[effects.Output]:
        """Send heartbeats to the targets, or to all if none is connected."""
        target_names = {info.name for info in targets}
        if target_names.isdisjoint(self._sessions_by_name):
            target_names = set(self._sessions_by_name)
        outputs: list[effects.Output] = []
        for name, session in self._sessions_by_name.items():
            if name not in target_names or now_ms < session.due_ms:
                continue
            session.schedule(self._jitter_ms(session), now_ms)
            outputs.append(self._build_heartbeat(session, source, now_ms))
        return outputs

    def _jitter_ms(self, session: Session) -> int:
        """Return by how much to shorten the interval after a heartbeat.

        Only a heartbeat that has to carry the state, such as the first one
        of a session, is followed by jitter. It spreads the agents that
        connect to an entry at the same time.
        """
        if session.sent_version != -1:
            return 0
        return self._random.randint(0, MAX_JITTER_MS)

    def _build_heartbeat(
        self, session: Session, source: StateSource, now_ms: int
    ) -> effects.Output:
        state = None
        if session.sent_version != source.state_version():
            state = source.state(now_ms)
            session.sent_version = source.state_version()
        message = messages.AgentHeartbeat(
            self._peer_id.name,
            self._peer_id.incarnation,
            source.config_version(),
            state,
        )
        return self.send(session.peer.name, message)
