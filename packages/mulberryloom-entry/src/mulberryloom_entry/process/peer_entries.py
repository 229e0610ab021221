"""Messages to the other entries of the region."""

import typing as t

from mulberryloom_core import messages

from . import rendezvous

if t.TYPE_CHECKING:
    from mulberryloom_core import identity

    from .context import Context

DIGEST_INTERVAL_MS = 1_000
#: Interval at which changed error-budget counts are sent.
BURN_INTERVAL_MS = 10_000


class PeerEntries:
    """Sessions to other entries, and the state that is sent over them."""

    __slots__ = (
        '_context',
        '_incarnations_by_name',
        '_next_burn_ms',
        '_next_digest_ms',
        '_announced_below_guarantee',
    )

    def __init__(self, context: 'Context') -> None:
        self._context = context
        self._incarnations_by_name: dict[str, int] = {}
        self._next_digest_ms = 0
        self._announced_below_guarantee: set[str] = set()
        self._next_burn_ms = 0

    def on_connected(self, peer: 'identity.PeerId', now: int) -> bool:
        """Record a new session with an entry.

        :return: whether the session replaces one with an earlier
            incarnation of that entry, which is thereby lost.
        """
        known_incarnation = self._incarnations_by_name.get(peer.name)
        self._incarnations_by_name[peer.name] = peer.incarnation
        # Digests contain changes only: the new peer needs a full one.
        self._context.membership.resend_all(now)
        self._next_digest_ms = now
        report = self._context.burn.report(self._context.wall_ms(now))
        self._context.outbox.send_entry(peer.name, report)
        return (
            known_incarnation is not None
            and known_incarnation != peer.incarnation
        )

    def on_lost(self, peer: 'identity.PeerId') -> bool:
        """Record the end of a session.

        :return: whether it was with the current incarnation of the entry.
        """
        if self._incarnations_by_name.get(peer.name) != peer.incarnation:
            return False
        del self._incarnations_by_name[peer.name]
        self._context.membership.on_entry_lost(peer.name)
        return True

    def on_registered(self, name: str, address: str) -> None:
        """Open a session to a registered entry without one."""
        if name not in self._incarnations_by_name:
            version = self._context.configuration.version
            fetch = messages.FetchConfiguration(version)
            self._context.outbox.send_entry(name, fetch, address)

    def is_digest_due(self, now: int) -> bool:
        """Return whether the next digest is due."""
        return now >= self._next_digest_ms

    def has_new_shortfall(
        self, pressures: list[messages.AccountPressure]
    ) -> bool:
        """Return whether another account is below its guarantee now.

        Accounts of the last digest are not counted again.
        """
        return (
            not _accounts_below_guarantee(pressures)
            <= self._announced_below_guarantee
        )

    def send_digests(
        self,
        pressures: list[messages.AccountPressure],
        is_draining: bool,
        now: int,
    ) -> None:
        """Send the changes since the last digest to every entry."""
        self._next_digest_ms = now + DIGEST_INTERVAL_MS
        self._announced_below_guarantee = _accounts_below_guarantee(pressures)
        context = self._context
        digest = context.membership.digest(
            now,
            context.configuration.version,
            context.shards.epochs_to_announce(),
            pressures,
            is_draining,
        )
        for name in self._incarnations_by_name:
            context.outbox.send_entry(name, digest)

    def send_burn(self, now: int) -> None:
        """Send changed error-budget counts to every entry, when due."""
        if now < self._next_burn_ms:
            return
        self._next_burn_ms = now + BURN_INTERVAL_MS
        wall_ms = self._context.wall_ms(now)
        report = self._context.burn.take_changes(wall_ms)
        if report is None:
            return
        for name in self._incarnations_by_name:
            self._context.outbox.send_entry(name, report)

    def hand_over(self, handovers: list[messages.HandOver]) -> None:
        """Hand shards over to the entries that own them next."""
        candidates = self._context.membership.shard_candidates(True)
        if not candidates:
            return
        for handover in handovers:
            owner = rendezvous.rank(handover.account, candidates)[0]
            self._context.outbox.send_entry(owner, handover)


def _accounts_below_guarantee(
    pressures: list[messages.AccountPressure],
) -> set[str]:
    return {
        pressure.account
        for pressure in pressures
        if pressure.is_below_guarantee
    }
