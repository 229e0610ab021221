"""Ownership of client accounts: which entry plans for which account.

Each account is one shard. The first live entry in rendezvous order owns
it: it claims the shard in the store, and the store revision of the claim
is the epoch. While the store is unavailable, the owner uses a provisional
epoch above the highest epoch that it knows.

Epochs are ordered by ``revision``, the store revision of a claim, then by
``sub``: ``0`` for the claim itself, and one more for each epoch that is
placed above the highest known one without a higher revision. The owner's
name breaks ties.
"""

import dataclasses
import enum

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import store
from result import Ok
from result import Result

from . import rendezvous

CLAIM_PREFIX = 'shard/'
REBUILD_MS = 3_000
#: Pause after a reply of the store before the next claim of a shard.
RETRY_MS = 1_000
#: Time after the assignment of a shard from which its owner takes a
#: provisional epoch if it has no current epoch.
PROVISIONAL_DELAY_MS = 2_000
CLAIMS_IN_FLIGHT_MAX = 4


class _Step(enum.Enum):
    IDLE = 'idle'
    READING = 'reading'
    WRITING = 'writing'


@dataclasses.dataclass(slots=True)
class _Shard:
    """One shard that is assigned to this entry.

    :param assigned_since_ms: when rendezvous hashing assigned it.
    :param step: store call in progress.
    :param retry_at_ms: earliest time of the next claim.
    :param epoch: epoch under which this entry plans; ``None`` before the
        first one.
    :param is_provisional: whether the epoch has no claim in the store.
    :param owned_since_ms: start of uninterrupted ownership.
    """

    account: str
    assigned_since_ms: int
    step: _Step = _Step.IDLE
    retry_at_ms: int = 0
    epoch: identity.Epoch | None = None
    is_provisional: bool = True
    owned_since_ms: int = 0


class Shards:
    """Client accounts that one entry owns, and the claims for them.

    Construct it with :meth:`from_identity`.
    """

    def __init__(self, entry_name: str, call_ids: effects.CallIds) -> None:
        self._entry_name = entry_name
        self._call_ids = call_ids
        self._shards_by_account: dict[str, _Shard] = {}
        self._highest_epoch_by_account: dict[str, identity.Epoch] = {}
        self._accounts_by_call_id: dict[int, str] = {}
        self._owners_by_account: dict[str, str] = {}

    @classmethod
    def from_identity(
        cls, entry_name: str, call_ids: effects.CallIds
    ) -> 'Shards':
        """Build the ownership table of an entry that owns no account."""
        return cls(entry_name, call_ids)

    def on_tick(
        self, now_ms: int, candidates: list[str], accounts: list[str]
    ) -> list[effects.CallStore]:
        """Assign each account to an entry and claim the assigned ones.

        :param candidates: names of the entries that may own shards.
        :param accounts: names of the configured client accounts.
        :return: store calls to execute.
        """
        self._owners_by_account = {
            account: rendezvous.rank(account, candidates)[0]
            for account in accounts
            if candidates
        }
        self._drop_unassigned()
        calls = []
        for account, owner in self._owners_by_account.items():
            if owner == self._entry_name:
                calls.extend(self._advance_claim(account, now_ms))
        return calls

    def on_store_done(
        self,
        call_id: int,
        result: Result[store.StoreReply, exceptions.Error],
        now_ms: int,
    ) -> list[effects.CallStore]:
        """Handle the reply to a store call of this object.

        :return: further store calls to execute.
        """
        account = self._accounts_by_call_id.pop(call_id, None)
        shard = self._shards_by_account.get(account or '')
        if shard is None:
            return []
        step = shard.step
        shard.step = _Step.IDLE
        shard.retry_at_ms = now_ms + RETRY_MS
        if not isinstance(result, Ok):
            return []
        reply = result.ok_value
        if step is _Step.READING and isinstance(reply, store.Entries):
            return self._claim(shard, reply)
        if step is _Step.WRITING and isinstance(reply, store.Written):
            epoch = self._epoch_of_claim(shard.account, reply.revision)
            self._set_epoch(shard, epoch, now_ms, is_provisional=False)
        return []

    def is_own_call(self, call_id: int) -> bool:
        """Return whether this object issued a store call."""
        return call_id in self._accounts_by_call_id

    def observe_epochs(self, shards: list[messages.ShardInfo]) -> None:
        """Record epochs that were received from another entry."""
        for info in shards:
            highest = self._highest_epoch_by_account.get(info.account)
            if highest is None or highest < info.epoch:
                self._highest_epoch_by_account[info.account] = info.epoch

    def owner_of(self, account: str) -> str | None:
        """Return the entry that an account is assigned to, if any."""
        return self._owners_by_account.get(account)

    def epoch_of(self, account: str) -> identity.Epoch | None:
        """Return the epoch under which this entry plans for an account.

        :return: ``None`` if this entry has no epoch, or only a superseded
            one, and must not plan.
        """
        shard = self._shards_by_account.get(account)
        if shard is None or shard.epoch is None:
            return None
        highest = self._highest_epoch_by_account.get(account)
        if highest is not None and shard.epoch < highest:
            return None
        return shard.epoch

    def owned_accounts(self) -> set[str]:
        """Return the accounts that this entry plans for."""
        return {
            account
            for account in self._shards_by_account
            if self.epoch_of(account) is not None
        }

    def shard_infos(self) -> list[messages.ShardInfo]:
        """Return the owned accounts with their epochs, by account name."""
        infos = []
        for account in sorted(self._shards_by_account):
            epoch = self.epoch_of(account)
            if epoch is not None:
                infos.append(messages.ShardInfo(account, epoch))
        return infos

    def epochs_to_announce(self) -> list[messages.ShardInfo]:
        """Return the epochs to announce to other entries.

        These include epochs of shards that this entry no longer owns:
        agents have seen them and reject plans under a lower epoch.
        """
        released = [
            messages.ShardInfo(account, epoch)
            for account, epoch in sorted(
                self._highest_epoch_by_account.items()
            )
            if epoch.entry == self._entry_name
            and account not in self._shards_by_account
        ]
        return self.shard_infos() + released

    def is_rebuilding(self, account: str, now_ms: int) -> bool:
        """Return whether a new owner is still collecting worker reports.

        This takes ``REBUILD_MS``; until then the account is not planned.
        """
        shard = self._shards_by_account.get(account)
        if shard is None or self.epoch_of(account) is None:
            return True
        return now_ms - shard.owned_since_ms < REBUILD_MS

    def _drop_unassigned(self) -> None:
        for account in list(self._shards_by_account):
            if self._owners_by_account.get(account) != self._entry_name:
                del self._shards_by_account[account]

    def _advance_claim(
        self, account: str, now_ms: int
    ) -> list[effects.CallStore]:
        shard = self._shards_by_account.get(account)
        if shard is None:
            shard = _Shard(account, assigned_since_ms=now_ms)
            self._shards_by_account[account] = shard
        if self._has_current_claim(shard):
            return []
        self._take_provisional_epoch(shard, now_ms)
        if shard.step is not _Step.IDLE or now_ms < shard.retry_at_ms:
            return []
        if len(self._accounts_by_call_id) >= CLAIMS_IN_FLIGHT_MAX:
            return []
        shard.step = _Step.READING
        return [
            self._call_store(account, store.GetKey(CLAIM_PREFIX + account))
        ]

    def _has_current_claim(self, shard: _Shard) -> bool:
        if shard.epoch is None or shard.is_provisional:
            return False
        highest = self._highest_epoch_by_account.get(shard.account)
        return highest is None or shard.epoch >= highest

    def _take_provisional_epoch(self, shard: _Shard, now_ms: int) -> None:
        if now_ms - shard.assigned_since_ms < PROVISIONAL_DELAY_MS:
            return
        if self.epoch_of(shard.account) is not None:
            return
        epoch = self._epoch_above_highest(shard.account)
        self._set_epoch(shard, epoch, now_ms, is_provisional=True)

    def _epoch_above_highest(self, account: str) -> identity.Epoch:
        highest = self._highest_epoch_by_account.get(account)
        if highest is None:
            return identity.Epoch(0, 1, self._entry_name)
        return identity.Epoch(
            highest.revision, highest.sub + 1, self._entry_name
        )

    def _epoch_of_claim(self, account: str, revision: int) -> identity.Epoch:
        """Return the epoch of a claim, above every known epoch.

        A store that was restored from older contents assigns revisions
        below the highest known epoch; the claim then gets the next epoch
        above that one.

        :param revision: store revision of the claim.
        """
        epoch = identity.Epoch(revision, 0, self._entry_name)
        highest = self._highest_epoch_by_account.get(account)
        if highest is None or highest < epoch:
            return epoch
        return self._epoch_above_highest(account)

    def _claim(
        self, shard: _Shard, reply: store.Entries
    ) -> list[effects.CallStore]:
        revision = reply.entries[0].revision if reply.entries else 0
        shard.step = _Step.WRITING
        request = store.PutKey(
            CLAIM_PREFIX + shard.account, self._entry_name.encode(), revision
        )
        return [self._call_store(shard.account, request)]

    def _set_epoch(
        self,
        shard: _Shard,
        epoch: identity.Epoch,
        now_ms: int,
        is_provisional: bool,
    ) -> None:
        if self.epoch_of(shard.account) is None:
            # First epoch, or another entry has owned the shard since.
            shard.owned_since_ms = now_ms
        shard.epoch = epoch
        shard.is_provisional = is_provisional
        self.observe_epochs([messages.ShardInfo(shard.account, epoch)])

    def _call_store(
        self, account: str, request: store.StoreRequest
    ) -> effects.CallStore:
        call_id = self._call_ids.take()
        self._accounts_by_call_id[call_id] = account
        return effects.CallStore(call_id, request)
