"""Questions that entries ask each other, and how they travel."""

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
    """What an entry can be asked for."""

    #: Tells the leader of a record that was written; no answer matters.
    JOB_CHANGED = 'job-changed'
    JOB_STATE = 'job-state'
    PENDING_COUNT = 'pending-count'
    #: What the leader has decided about a job.
    JOB_DECISIONS = 'job-decisions'
    #: The newest configuration that the other entry has.
    CATALOGUE = 'catalogue'
    #: A call to the store on behalf of an entry that cannot reach it.
    STORE = 'store'


class PeerCalls:
    """Calls of this entry that wait for another one's answer."""

    def __init__(self, node: nodes.Node) -> None:
        self._node = node
        self._ids = itertools.count(1)
        self._reply_by_id: dict[int, asyncio.Future[messages.EntryReply]] = {}

    async def ask(
        self,
        peer: str,
        kind: CallKind,
        argument: str = '',
        body: bytes = b'',
        *,
        timeout_ms: int,
    ) -> Result[bytes, exceptions.Error]:
        """Ask another entry.

        :return: the body of its answer, or an error of kind
            ``WORKER_LOST`` when it did not answer, or the kind that it
            answered with.
        """
        call_id = next(self._ids)
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_id[call_id] = reply
        call = messages.EntryCall(call_id, kind.value, argument, body)
        self._node.send(effects.Send(identity.Role.ENTRY, peer, call))
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                answer = await reply
        except TimeoutError:
            detail = f'{peer} did not answer in {timeout_ms} ms'
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.WORKER_LOST, detail
                )
            )
        finally:
            self._reply_by_id.pop(call_id, None)
        if answer.error:
            kind_found = exceptions.ErrorKind(answer.error)
            return Err(exceptions.Error.from_kind(kind_found))
        return Ok(answer.body)

    def tell(
        self, peer: str, kind: CallKind, argument: str, body: bytes
    ) -> None:
        """Tell another entry something that needs no answer."""
        call = messages.EntryCall(0, kind.value, argument, body)
        self._node.send(effects.Send(identity.Role.ENTRY, peer, call))

    def on_reply(self, reply: messages.EntryReply) -> None:
        """Take in an answer; one that nobody waits for is dropped."""
        waiting = self._reply_by_id.get(reply.call_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
