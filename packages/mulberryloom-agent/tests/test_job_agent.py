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


def _run_agent(scenario):
    """Run a scenario with an agent and the client of its worker."""

    async def run():
        worker = FailingWorker()
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
