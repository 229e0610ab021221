"""Tests of the agent of a job worker under odd messages and failures."""

import asyncio

from mulberryloom_agent.jobs import agent as agents
from mulberryloom_agent.jobs import worker_calls
from mulberryloom_core import identity
from mulberryloom_core import messages


class FailingWorker:
    """Client whose calls fail, as no client should."""

    def __init__(self):
        self.calls = 0

    async def hold(self, call):
        self.calls += 1
        raise RuntimeError('failed')

    async def close(self):
        """Close nothing."""


class Directory:
    """Directory without entries."""

    async def find_entries(self):
        return []


def _run_agent(scenario, worker=None):
    """Run a scenario with an agent and the client of its worker."""

    worker = worker or FailingWorker()

    async def run():
        agent = agents.JobAgent.from_parts(
            'vm', (), b'secret', worker, Directory()
        )
        await agent.start()
        try:
            return await scenario(agent, worker)
        finally:
            await agent.close()

    return asyncio.run(run())


def _notice(*addresses):
    return messages.EntryNotice(
        '127.0.0.1:9',
        'e.1',
        '127.0.0.1:99999',
        7,
        True,
        False,
        1,
        list(addresses),
    )


# Guards against an agent that follows no leader since the leader's notice has
# one address that it cannot read.
def test_odd_address_in_a_notice_is_skipped_alone():
    async def scenario(agent, _worker):
        odd = ['no-address', '127.0.0.1:70000', 'x' * 100_000, '127.0.0.1:9']
        agent._on_notice('e.1', _notice(*odd))
        return agent.has_leader, set(agent._known_entries)

    has_leader, known = _run_agent(scenario)
    assert has_leader
    assert known == {identity.Address('127.0.0.1', 9)}


# Guards against a worker that is never asked again after one failed call.
def test_call_that_fails_is_repeated():
    async def scenario(agent, worker):
        agent._on_notice('e.1', _notice())
        agent.on_heartbeat(
            worker_calls.WorkerInfo(
                *('w', 1, 1, 's', '127.0.0.1:9', 'dc', 'r', ()),
                *(1_000, 1_000, 1, False, 0),
            )
        )
        await asyncio.sleep(0.6)
        return worker.calls

    assert _run_agent(scenario) > 1


def _info(sequence=1, **changes):
    found = {'boot': 1, 'service': 's', **changes}
    return worker_calls.WorkerInfo(
        *('w', found['boot'], sequence, found['service']),
        *('127.0.0.1:9', 'dc', 'r', (), 1_000, 1_000, 1, False, 0),
    )


class AnsweringWorker(FailingWorker):
    """Client of a worker of the first incarnation."""

    async def hold(self, call):
        self.calls += 1
        if self.calls > 1:
            await asyncio.sleep(60)
        return worker_calls.HoldReply(worker_calls.CallStatus.DONE, boot=1)


# Guards against heartbeats of another writer, and a worker whose heartbeats
# are rejected or late, of which no metric tells.
def test_heartbeats_are_counted_by_outcome():
    async def scenario(agent, worker):
        agent._on_notice('e.1', _notice())
        agent.on_heartbeat(_info())
        async with asyncio.timeout(10):
            while not worker.calls:
                await asyncio.sleep(0.01)
        agent.on_heartbeat(_info(sequence=2))
        agent.on_heartbeat(_info(sequence=2))
        agent.on_heartbeat(_info(boot=9))
        agent.on_heartbeat(_info(sequence=3, service='x'))
        agent.on_invalid_heartbeat()
        return agent.metrics()

    text = _run_agent(scenario, AnsweringWorker())
    found = {
        line for line in text.splitlines() if line.startswith('heartbeats')
    }
    assert found == {
        f'heartbeats_total{{kind="{kind}"}} {count}'
        for kind, count in {
            'accepted': 1,
            'late': 1,
            'unverified': 2,
            'other-writer': 1,
            'invalid': 1,
        }.items()
    }
