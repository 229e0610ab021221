"""Remote calls between entries."""

import asyncio
import enum
import itertools

from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from result import Err
from result import Ok
from result import Result


class CallKind(enum.Enum):
    """Operations that an entry performs for another one."""

    #: Notifies the leader that a job record was written; not answered.
    JOB_CHANGED = 'job-changed'
    #: State of a job, as the leader knows it.
    JOB_STATE = 'job-state'
    #: Number of jobs of a queue that have not started; leader only.
    PENDING_COUNT = 'pending-count'
    #: The leader's decisions about a job; leader only.
    JOB_DECISIONS = 'job-decisions'
    #: The configuration in force at the called entry, compressed.
    CATALOGUE = 'catalogue'
    #: A store call relayed for an entry that cannot reach the store.
    STORE = 'store'


def error_reply(call_id: int, error: exceptions.Error) -> messages.EntryReply:
    """Return the reply to a call that failed.

    Its body tells whether the operation ran.
    """
    return messages.EntryReply(
        call_id, error.kind.value, error.ran.value.encode()
    )


def _error_of(reply: messages.EntryReply) -> exceptions.Error:
    """Return the error of a reply; without a body it may have run."""
    kind = exceptions.ErrorKind(reply.error)
    ran = exceptions.Ran(reply.body.decode() or exceptions.Ran.UNKNOWN.value)
    return exceptions.Error.from_kind(kind, ran=ran)


class PeerCalls:
    """Calls from this entry to its peers.

    :param node: sessions with the peers.
    """

    def __init__(self, node: nodes.Node) -> None:
        self._node = node
        self._call_ids = itertools.count(1)
        self._pending_reply_by_id: dict[
            int, asyncio.Future[messages.EntryReply]
        ] = {}

    async def send_request(
        self,
        peer: str,
        kind: CallKind,
        argument: str = '',
        body: bytes = b'',
        *,
        timeout_ms: int,
    ) -> Result[bytes, exceptions.Error]:
        """Call another entry and wait for its reply.

        :param peer: peer name of the entry.
        :param argument: text argument, such as a job id.
        :param body: binary argument, such as an encoded record.
        :return: the body of the reply; an error of kind ``WORKER_LOST``
            on a timeout, or of the kind that the reply names.
        """
        call_id = next(self._call_ids)
        reply = asyncio.get_running_loop().create_future()
        self._pending_reply_by_id[call_id] = reply
        call = messages.EntryCall(call_id, kind.value, argument, body)
        self._node.send(effects.Send(identity.Role.ENTRY, peer, call))
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                answer = await reply
        except TimeoutError:
            detail = f'{peer} did not answer within {timeout_ms} ms'
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.WORKER_LOST, detail
                )
            )
        finally:
            self._pending_reply_by_id.pop(call_id, None)
        if answer.error:
            return Err(_error_of(answer))
        return Ok(answer.body)

    def send_notification(
        self, peer: str, kind: CallKind, argument: str, body: bytes
    ) -> None:
        """Call another entry without waiting for a reply.

        The call id ``0`` marks calls that are not answered.
        """
        call = messages.EntryCall(0, kind.value, argument, body)
        self._node.send(effects.Send(identity.Role.ENTRY, peer, call))

    def on_reply(self, reply: messages.EntryReply) -> None:
        """Resolve the call that a reply belongs to.

        Replies to calls that have timed out are dropped.
        """
        pending = self._pending_reply_by_id.get(reply.call_id)
        if pending is not None and not pending.done():
            pending.set_result(reply)
