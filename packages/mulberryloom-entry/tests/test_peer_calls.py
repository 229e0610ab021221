"""Tests of the calls between entries."""

import asyncio

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_entry.jobs import calls
import pytest

Ran = exceptions.Ran


class Node:
    """Answers each call by a function of its id."""

    def __init__(self, answer):
        self.peer_calls = calls.PeerCalls(self)
        self._answer = answer

    def send(self, send):
        self.peer_calls.on_reply(self._answer(send.message.call_id))


def _call(answer):
    peer_calls = Node(answer).peer_calls
    return asyncio.run(
        peer_calls.send_request('peer', calls.CallKind.STORE, timeout_ms=100)
    )


# Guards against a submission that is refused as not run and runs later: the
# other entry's write to the store may still be carried out.
@pytest.mark.parametrize('ran', list(Ran))
def test_error_of_a_relayed_call_tells_whether_it_ran(ran):
    error = exceptions.Error.from_kind(
        exceptions.ErrorKind.STORE_UNAVAILABLE, ran=ran
    )
    answer = _call(lambda call_id: calls.error_reply(call_id, error))
    assert answer.unwrap_err().ran is ran
    assert answer.unwrap_err().kind is error.kind


def test_error_that_does_not_tell_may_have_run():
    kind = exceptions.ErrorKind.STORE_UNAVAILABLE.value
    answer = _call(lambda call_id: messages.EntryReply(call_id, kind, b''))
    assert answer.unwrap_err().ran is Ran.UNKNOWN
