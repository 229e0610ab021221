"""Which entry plans for which client account.

Each account is one shard. The first live entry in rendezvous order owns
it: it claims the shard in the store, and the revision of the claim is the
epoch. While the store does not answer, the owner acts on a provisional
epoch above the highest one that it knows.
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
RETRY_MS = 1_000
PROVISIONAL_AFTER_MS = 2_000
CLAIMS_IN_FLIGHT_MAX = 4


class _Step(enum.Enum):
    IDLE = 'idle'
    READING = 'reading'
    WRITING = 'writing'


@dataclasses.dataclass(slots=True)
class _Shard:
    """One shard that this entry owns or is about to own."""

    account: str
    wanted_since_ms: int
    step: _Step = _Step.IDLE
    next_try_ms: int = 0
    epoch: identity.Epoch | None = None
    is_provisional: bool = True
    owned_since_ms: int = 0


class Shards:
    """Ownership of client accounts by one entry.

    Construct it with :meth:`from_identity`.
    """

    def __init__(self, entry: str, call_ids: effects.CallIds) -> None:
        self._entry = entry
        self._call_ids = call_ids
        self._shards_by_account: dict[str, _Shard] = {}
        self._highest_by_account: dict[str, identity.Epoch] = {}
        self._accounts_by_call: dict[int, str] = {}
        self._owners_by_account: dict[str, str] = {}

    @classmethod
    def from_identity(cls, entry: str, call_ids: effects.CallIds) -> 'Shards':
        """Build the ownership table of the named entry, owning nothing."""
        return cls(entry, call_ids)

    def on_tick(
        self, now_ms: int, candidates: list[str], accounts: list[str]
    ) -> list[effects.CallStore]:
        """Follow the live entries and the configured accounts.

        :param candidates: names of the entries that may own shards.
        :return: calls to the store.
        """
        self._owners_by_account = {
            account: rendezvous.rank(account, candidates)[0]
            for account in accounts
            if candidates
        }
        self._drop_lost()
        calls = []
        for account, owner in self._owners_by_account.items():
            if owner == self._entry:
                calls.extend(self._advance(account, now_ms))
        return calls

    def on_store_done(
        self,
        call_id: int,
        result: Result[store.StoreReply, exceptions.Error],
        now_ms: int,
    ) -> list[effects.CallStore]:
        """Take in the answer to one of this object's calls."""
        account = self._accounts_by_call.pop(call_id, None)
        shard = self._shards_by_account.get(account or '')
        if shard is None:
            return []
        step = shard.step
        shard.step = _Step.IDLE
        shard.next_try_ms = now_ms + RETRY_MS
        if not isinstance(result, Ok):
            return []
        reply = result.ok_value
        if step is _Step.READING and isinstance(reply, store.Entries):
            return self._claim(shard, reply)
        if step is _Step.WRITING and isinstance(reply, store.Written):
            epoch = self._epoch_of_claim(shard.account, reply.revision)
            self._own(shard, epoch, now_ms, is_provisional=False)
        return []

    def is_mine(self, call_id: int) -> bool:
        """Tell whether a call to the store was made here."""
        return call_id in self._accounts_by_call

    def observe(self, shards: list[messages.ShardInfo]) -> None:
        """Note the epochs that another entry or an agent has seen."""
        for info in shards:
            known = self._highest_by_account.get(info.account)
            if known is None or known < info.epoch:
                self._highest_by_account[info.account] = info.epoch

    def owner_of(self, account: str) -> str | None:
        """Return the entry that owns an account, if any is live."""
        return self._owners_by_account.get(account)

    def epoch_of(self, account: str) -> identity.Epoch | None:
        """Return the epoch on which this entry plans for an account.

        :return: ``None`` where it may not plan.
        """
        shard = self._shards_by_account.get(account)
        if shard is None or shard.epoch is None:
            return None
        highest = self._highest_by_account.get(account)
        if highest is not None and shard.epoch < highest:
            return None
        return shard.epoch

    def owned(self) -> set[str]:
        """Return the accounts for which this entry plans."""
        return {
            account
            for account in self._shards_by_account
            if self.epoch_of(account) is not None
        }

    def infos(self) -> list[messages.ShardInfo]:
        """Return the owned accounts with their epochs."""
        infos = []
        for account in sorted(self._shards_by_account):
            epoch = self.epoch_of(account)
            if epoch is not None:
                infos.append(messages.ShardInfo(account, epoch))
        return infos

    def told_epochs(self) -> list[messages.ShardInfo]:
        """Return the epochs that other entries have to know.

        With those that this entry has planned under and has given up: the
        agents refuse whoever plans under a lower one.
        """
        ceded = [
            messages.ShardInfo(account, epoch)
            for account, epoch in sorted(self._highest_by_account.items())
            if epoch.entry == self._entry
            and account not in self._shards_by_account
        ]
        return self.infos() + ceded

    def is_rebuilding(self, account: str, now_ms: int) -> bool:
        """Tell whether a new owner still gathers reports.

        Until then nothing is planned that preempts.
        """
        shard = self._shards_by_account.get(account)
        if shard is None or self.epoch_of(account) is None:
            return True
        return now_ms - shard.owned_since_ms < REBUILD_MS

    def _drop_lost(self) -> None:
        for account in list(self._shards_by_account):
            if self._owners_by_account.get(account) != self._entry:
                del self._shards_by_account[account]

    def _advance(self, account: str, now_ms: int) -> list[effects.CallStore]:
        shard = self._shards_by_account.get(account)
        if shard is None:
            shard = _Shard(account, wanted_since_ms=now_ms)
            self._shards_by_account[account] = shard
        if self._is_settled(shard):
            return []
        self._act_provisionally(shard, now_ms)
        if shard.step is not _Step.IDLE or now_ms < shard.next_try_ms:
            return []
        if len(self._accounts_by_call) >= CLAIMS_IN_FLIGHT_MAX:
            return []
        shard.step = _Step.READING
        return [self._call(account, store.GetKey(CLAIM_PREFIX + account))]

    def _is_settled(self, shard: _Shard) -> bool:
        if shard.epoch is None or shard.is_provisional:
            return False
        highest = self._highest_by_account.get(shard.account)
        return highest is None or shard.epoch >= highest

    def _act_provisionally(self, shard: _Shard, now_ms: int) -> None:
        if now_ms - shard.wanted_since_ms < PROVISIONAL_AFTER_MS:
            return
        if self.epoch_of(shard.account) is not None:
            return
        epoch = self._epoch_above_highest(shard.account)
        self._own(shard, epoch, now_ms, is_provisional=True)

    def _epoch_above_highest(self, account: str) -> identity.Epoch:
        highest = self._highest_by_account.get(account)
        if highest is None:
            return identity.Epoch(0, 1, self._entry)
        return identity.Epoch(highest.revision, highest.sub + 1, self._entry)

    def _epoch_of_claim(self, account: str, revision: int) -> identity.Epoch:
        """Return the epoch of a claim.

        A store that came back with older contents gives revisions below
        the highest epoch; the claim then counts above that epoch.
        """
        epoch = identity.Epoch(revision, 0, self._entry)
        highest = self._highest_by_account.get(account)
        if highest is None or highest < epoch:
            return epoch
        return self._epoch_above_highest(account)

    def _claim(
        self, shard: _Shard, reply: store.Entries
    ) -> list[effects.CallStore]:
        revision = reply.entries[0].revision if reply.entries else 0
        shard.step = _Step.WRITING
        request = store.PutKey(
            CLAIM_PREFIX + shard.account, self._entry.encode(), revision
        )
        return [self._call(shard.account, request)]

    def _own(
        self,
        shard: _Shard,
        epoch: identity.Epoch,
        now_ms: int,
        is_provisional: bool,
    ) -> None:
        if self.epoch_of(shard.account) is None:
            # Another entry has planned since, or nobody has.
            shard.owned_since_ms = now_ms
        shard.epoch = epoch
        shard.is_provisional = is_provisional
        self.observe([messages.ShardInfo(shard.account, epoch)])

    def _call(
        self, account: str, request: store.StoreRequest
    ) -> effects.CallStore:
        call_id = self._call_ids.take()
        self._accounts_by_call[call_id] = account
        return effects.CallStore(call_id, request)
