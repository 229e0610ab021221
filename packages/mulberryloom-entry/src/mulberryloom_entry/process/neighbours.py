"""What an entry tells the other entries of its region."""

import typing as t

from mulberryloom_core import messages

from . import rendezvous

if t.TYPE_CHECKING:
    from mulberryloom_core import identity

    from .context import Context

DIGEST_INTERVAL_MS = 1_000
BURN_INTERVAL_MS = 10_000


class Neighbours:
    """Sessions to other entries, and the news that go over them."""

    __slots__ = (
        '_context',
        '_incarnations_by_name',
        '_next_burn_ms',
        '_next_digest_ms',
        '_told_pressing',
    )

    def __init__(self, context: 'Context') -> None:
        self._context = context
        self._incarnations_by_name: dict[str, int] = {}
        self._next_digest_ms = 0
        self._told_pressing: set[str] = set()
        self._next_burn_ms = 0

    def on_connected(self, peer: 'identity.PeerId', now: int) -> bool:
        """Note a session with an entry.

        :return: whether an earlier run of that entry is lost.
        """
        known = self._incarnations_by_name.get(peer.name)
        self._incarnations_by_name[peer.name] = peer.incarnation
        # The next digest goes to everybody: news are told only once.
        self._context.membership.announce_all(now)
        self._next_digest_ms = now
        report = self._context.burn.report(self._context.wall_ms(now))
        self._context.outbox.send_entry(peer.name, report)
        return known is not None and known != peer.incarnation

    def on_lost(self, peer: 'identity.PeerId') -> bool:
        """Note the end of a session.

        :return: whether it was with the current run of the entry.
        """
        if self._incarnations_by_name.get(peer.name) != peer.incarnation:
            return False
        del self._incarnations_by_name[peer.name]
        self._context.membership.on_entry_lost(peer.name)
        return True

    def on_registered(self, name: str, address: str) -> None:
        """Open a session to an entry that is not known yet."""
        if name not in self._incarnations_by_name:
            version = self._context.configuration.version
            hello = messages.FetchConfiguration(version)
            self._context.outbox.send_entry(name, hello, address)

    def is_digest_due(self, now: int) -> bool:
        """Tell whether it is time for the next digest."""
        return now >= self._next_digest_ms

    def is_news(self, pressures: list[messages.AccountPressure]) -> bool:
        """Tell whether an account reclaims that was not told as such."""
        return not _pressing(pressures) <= self._told_pressing

    def send_digests(
        self,
        pressures: list[messages.AccountPressure],
        is_draining: bool,
        now: int,
    ) -> None:
        """Send the news since the last digest to every entry."""
        self._next_digest_ms = now + DIGEST_INTERVAL_MS
        self._told_pressing = _pressing(pressures)
        context = self._context
        digest = context.membership.digest(
            now,
            context.configuration.version,
            context.shards.told_epochs(),
            pressures,
            is_draining,
        )
        for name in self._incarnations_by_name:
            context.outbox.send_entry(name, digest)

    def send_burn(self, now: int) -> None:
        """Send changed burn counts to every entry, when it is time."""
        if now < self._next_burn_ms:
            return
        self._next_burn_ms = now + BURN_INTERVAL_MS
        wall_ms = self._context.wall_ms(now)
        report = self._context.burn.take_changes(wall_ms)
        if report is None:
            return
        for name in self._incarnations_by_name:
            self._context.outbox.send_entry(name, report)

    def hand_over(self, handed: list[messages.HandOver]) -> None:
        """Pass shards on to the entries that are next in line."""
        candidates = self._context.membership.shard_candidates(True)
        if not candidates:
            return
        for hand_over in handed:
            owner = rendezvous.rank(hand_over.account, candidates)[0]
            self._context.outbox.send_entry(owner, hand_over)


def _pressing(pressures: list[messages.AccountPressure]) -> set[str]:
    return {p.account for p in pressures if p.is_below_guarantee}
