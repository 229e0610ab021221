"""Leader election by compare-and-swap on one key in the store."""

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
    """The entry that leads.

    :param name: peer name of the entry; a restarted entry has another one.
    :param address: address for connections from peers.
    :param generation: revision of the leader's key; ``0`` without a leader.
    """

    name: str = ''
    address: str = ''
    generation: int = 0

    @classmethod
    def from_entry(cls, entry: store.Entry | None) -> 'LeaderRecord':
        """Decode the leader's key.

        An unreadable value gives an empty name with the key's revision, so
        that another entry can replace it.
        """
        if entry is None:
            return cls()
        try:
            document = orjson.loads(entry.value)
            name, address = document['name'], document['address']
            if not isinstance(name, str) or not isinstance(address, str):
                raise ValueError('name and address: expected strings')
            return cls(name, address, entry.revision)
        except (ValueError, KeyError, TypeError) as error:
            _log.warning('leader record is unreadable', reason=repr(error))
            return cls('', '', entry.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class ElectionOptions:
    """Timeouts of the election, in milliseconds.

    :param leader_timeout_ms: time without a notice from the leader after
        which another entry takes over; about three notice intervals.
    :param replaced_leader_timeout_ms: the same when another process runs on
        the leader's VM; leaves time for notices of the other entries to
        arrive.
    :param stagger_ms: added for each entry that is ahead in rank, so that
        entries do not compete for the key at once.
    """

    leader_timeout_ms: int = 1_000
    replaced_leader_timeout_ms: int = 200
    stagger_ms: int = 350


async def read_leader(
    store_client: store.Store,
) -> Result[LeaderRecord, exceptions.Error]:
    """Return the leader according to the store."""
    answer = await store_client.call(store.GetKey(keys.LEADER))
    if answer.is_err():
        return Err(answer.unwrap_err())
    entries = answer.unwrap().entries
    return Ok(LeaderRecord.from_entry(entries[0] if entries else None))


async def take_over(
    store_client: store.Store, candidate: LeaderRecord, expected: LeaderRecord
) -> Result[LeaderRecord, exceptions.Error]:
    """Try to replace the leader by this entry.

    :param candidate: this entry's name and address.
    :param expected: the leader that was read from the store; the takeover
        fails if the key has changed since.
    :return: the leader after the attempt, which may be another entry.
    """
    value = orjson.dumps(
        {'name': candidate.name, 'address': candidate.address}
    )
    request = store.Transact(
        {keys.LEADER: expected.generation}, {keys.LEADER: value}
    )
    answer = await store_client.call(request)
    if answer.is_err():
        if answer.unwrap_err().ran is exceptions.Ran.NO:
            return Err(answer.unwrap_err())
        return await read_leader(store_client)
    reply = answer.unwrap()
    if isinstance(reply, store.Conflict):
        found = reply.entry_by_key.get(keys.LEADER)
        return Ok(LeaderRecord.from_entry(found))
    return Ok(LeaderRecord(candidate.name, candidate.address, reply.revision))


async def resign(store_client: store.Store, own_record: LeaderRecord) -> bool:
    """Delete the leader's key, so that another entry can lead at once.

    :return: whether this call has deleted the key.
    """
    request = store.Transact(
        {keys.LEADER: own_record.generation}, {}, (keys.LEADER,)
    )
    answer = await store_client.call(request)
    return answer.is_ok() and isinstance(answer.unwrap(), store.Written)
