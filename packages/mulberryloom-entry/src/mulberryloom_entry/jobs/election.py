"""Who leads: one key in the store, taken over by compare-and-swap."""

import dataclasses

from mulberryloom_core import exceptions
from mulberryloom_core import store
import orjson
from result import Err
from result import Ok
from result import Result
import structlog

from . import keys

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Who leads.

    :param name: peer name of the entry, new at every start.
    :param address: where its peers connect.
    :param generation: revision of the key; ``0`` when nobody leads.
    """

    name: str = ''
    address: str = ''
    generation: int = 0

    @classmethod
    def from_entry(cls, entry: store.Entry | None) -> 'LeaderRecord':
        """Read the leader's key; an unreadable one names nobody."""
        if entry is None:
            return cls()
        try:
            document = orjson.loads(entry.value)
            return cls(
                str(document['name']),
                str(document['address']),
                entry.revision,
            )
        except (ValueError, KeyError, TypeError) as problem:
            _log.warning('leader record unreadable', reason=repr(problem))
            return cls('', '', entry.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class ElectionOptions:
    """Times of the election, in milliseconds.

    :param silent_ms: silence of the leader after which another entry
        takes over; three of its notices.
    :param replaced_ms: the same when another process is seen to run in
        its place; time for the others to be heard.
    :param stagger_ms: added for each entry that is ahead in rank.
    """

    silent_ms: int = 1_000
    replaced_ms: int = 200
    stagger_ms: int = 350


async def read_leader(
    leader_store: store.Store,
) -> Result[LeaderRecord, exceptions.Error]:
    """Return who leads according to the store."""
    answer = await leader_store.call(store.GetKey(keys.LEADER))
    if answer.is_err():
        return Err(answer.unwrap_err())
    entries = answer.unwrap().entries
    return Ok(LeaderRecord.from_entry(entries[0] if entries else None))


async def take_over(
    leader_store: store.Store, me: LeaderRecord, seen: LeaderRecord
) -> Result[LeaderRecord, exceptions.Error]:
    """Make this entry the leader in the place of another one.

    :param me: this entry's name and address.
    :param seen: the leader that the store had; the takeover fails if it
        has another one by now.
    :return: who leads now, which need not be this entry.
    """
    value = orjson.dumps({'name': me.name, 'address': me.address})
    request = store.Transact(
        {keys.LEADER: seen.generation}, {keys.LEADER: value}
    )
    answer = await leader_store.call(request)
    if answer.is_err():
        if answer.unwrap_err().ran is exceptions.Ran.NO:
            return Err(answer.unwrap_err())
        return await read_leader(leader_store)
    reply = answer.unwrap()
    if isinstance(reply, store.Conflict):
        found = reply.entry_by_key.get(keys.LEADER)
        return Ok(LeaderRecord.from_entry(found))
    return Ok(LeaderRecord(me.name, me.address, reply.revision))


async def resign(leader_store: store.Store, me: LeaderRecord) -> bool:
    """Free the leader's key, so that another entry need not wait.

    :return: whether the key is free.
    """
    request = store.Transact({keys.LEADER: me.generation}, {}, (keys.LEADER,))
    answer = await leader_store.call(request)
    return answer.is_ok() and isinstance(answer.unwrap(), store.Written)
