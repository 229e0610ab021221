"""Hypothesis state machine of whole-system fuzzing.

Its rules send requests, apply tickets and inject faults in random order.
"""

import itertools

from hypothesis import stateful
from hypothesis import strategies
from mulberryloom_agent import BackendLeft
from mulberryloom_core import messages
from mulberryloom_core import shapes
import mulberryloom_entry as entry

from . import oracle as oracles
from . import processes
from . import tickets
from . import world as worlds

#: Time without faults at the end of an example, after which every call must
#: have been answered.
SETTLE_MS = 80_000
SETTLE_STEP_MS = 100
DEADLINE_MS = 45_000
BURST_MAX = 6
#: Time at the end of an example before faults are repaired and killed
#: processes restarted; equal to the longest timed fault.
STILL_ABSENT_MS = 8_000
#: Longest simulated time between two checks of the invariants.
CHECK_INTERVAL_MS = 500
#: Time for processes to connect and apply the first ticket.
START_MS = 6_000

_ENTRIES = strategies.sampled_from(worlds.ENTRIES)
_WORKERS = strategies.sampled_from(sorted(worlds.RACK_BY_WORKER))
_NAMES = strategies.sampled_from(
    sorted([*worlds.ENTRIES, *worlds.RACK_BY_WORKER])
)
_ACCOUNTS = strategies.sampled_from(tickets.ACCOUNTS)
_METHODS = strategies.sampled_from(['preview', 'audio', 'typeset'])


# Derandomized runs derive their examples from the source of this class
# without comments but with docstrings. A change of wording in it would replace
# the examples that CI runs, so explanations of its names stand here:
# - _abandon: excludes the open calls of a killed entry from the checks.
# - _revive: starts a new incarnation of a process that is not running.
# - _note_call, _note_fetch: register a call with the oracle.
# - holds: invariant, checked after each rule.
# - oracles.PromiseBroken: raised when an invariant is violated.
# - backend.has_left_ms: time of the leave; None before.
# - run.me: identity of the incarnation.
# - world.later: schedules an action on the simulated clock.
# - store_slows: delays the answers of the store.
# - teardown: repairs all faults, then checks that each request has ended.
class WholeSystem(stateful.RuleBasedStateMachine):
    """Callers, operators and faults against two entries and four agents."""

    def __init__(self) -> None:
        super().__init__()
        self.oracle = oracles.Oracle()
        self.world = worlds.World(7, self.oracle)
        self._call_ids = itertools.count(1)
        self._labels = itertools.count(1)
        self._calls: list[oracles.Call] = []
        self._ticket = 1
        self.world.advance(1_000)
        self._apply('entry-1', 1, tickets.first_ticket())
        self.world.advance(START_MS)

    @stateful.rule(by_ms=strategies.sampled_from([50, 100, 200, 300]))
    def advance(self, by_ms: int) -> None:
        """Let a little time pass."""
        self._advance(by_ms)

    @stateful.rule(by_ms=strategies.sampled_from([1_000, 3_500, 12_000]))
    def wait(self, by_ms: int) -> None:
        """Let more time pass."""
        self._advance(by_ms)

    @stateful.rule(
        name=_ENTRIES,
        account=_ACCOUNTS,
        methods=strategies.lists(_METHODS, min_size=2, max_size=BURST_MAX),
    )
    def burst(self, name: str, account: str, methods: list[str]) -> None:
        """Submit several requests whose callers wait."""
        for method in methods:
            label = f'request-{next(self._labels)}'
            self._submit(name, account, method, False, label)
        self._advance(100)

    @stateful.rule(
        name=_ENTRIES,
        account=_ACCOUNTS,
        method=_METHODS,
        is_async=strategies.booleans(),
    )
    def submit(
        self, name: str, account: str, method: str, is_async: bool
    ) -> None:
        """Submit a new request."""
        label = f'request-{next(self._labels)}'
        self._submit(name, account, method, is_async, label)

    @stateful.rule(name=_ENTRIES, index=strategies.integers(0, 100))
    def submit_again(self, name: str, index: int) -> None:
        """Try an earlier request again, at any entry."""
        if not self._calls:
            return
        call = self._calls[index % len(self._calls)]
        account, method = call.body.decode().split('/')[1:]
        self._submit(name, account, method, call.is_async, call.label)

    @stateful.rule(name=_ENTRIES, index=strategies.integers(0, 100))
    def cancel(self, name: str, index: int) -> None:
        """Cancel an accepted request at any entry."""
        accepted = sorted(self.oracle.accepted_by_label.items())
        run = self.world.entries_by_name.get(name)
        if not accepted or run is None:
            return
        label, request_id = accepted[index % len(accepted)]
        account = self._account_of(label)
        cancel = f'cancel of {label}'
        call = self._note_call(name, cancel, b'', True, False)
        run.inbox.append(
            entry.CancelRequested(call.call_id, account, [request_id])
        )

    @stateful.rule(name=_ENTRIES, down_ms=strategies.sampled_from([0, 5_000]))
    def kill_entry(self, name: str, down_ms: int) -> None:
        """End an entry without notice and start it anew later."""
        self._abandon(name)
        self.world.kill_entry(name)
        self.world.later(down_ms, lambda: self._revive(name))
        self._count('entry killed')

    @stateful.rule(name=_WORKERS, down_ms=strategies.sampled_from([0, 5_000]))
    def kill_worker(self, name: str, down_ms: int) -> None:
        """End a worker VM without notice and start it anew later."""
        self.world.kill_agent(name)
        self.world.later(down_ms, lambda: self._revive(name))
        self._count('worker killed')

    @stateful.rule(name=_NAMES, ms=strategies.sampled_from([500, 5_000]))
    def freeze(self, name: str, ms: int) -> None:
        """Pause a process for some time."""
        run = self._run(name)
        if run is None:
            return
        run.is_frozen = True
        self.world.later(ms, lambda: setattr(run, 'is_frozen', False))
        self._count('process frozen')

    @stateful.rule(
        left=_NAMES, right=_NAMES, ms=strategies.sampled_from([1_000, 8_000])
    )
    def cut(self, left: str, right: str, ms: int) -> None:
        """Cut a link for some time."""
        if left == right:
            return
        network = self.world.network
        network.cut(left, right)
        self.world.later(ms, lambda: network.heal(left, right))
        self._count('link cut')

    @stateful.rule()
    def store_fails(self) -> None:
        """Begin an outage of the store."""
        self.world.store.faults.outage = True
        self._count('store outage')

    @stateful.rule()
    def store_recovers(self) -> None:
        """End the outage."""
        self.world.store.faults.outage = False

    @stateful.rule(count=strategies.integers(1, 3))
    def store_loses_answers(self, count: int) -> None:
        """Lose the answers to the next writes, after their effect."""
        self.world.store.faults.lost_answers = count
        self._count('store answer lost')

    @stateful.rule(count=strategies.integers(1, 3))
    def store_reads_stale(self, count: int) -> None:
        """Answer the next reads with older values."""
        self.world.store.faults.stale_answers = count
        self._count('store read stale')

    @stateful.rule(delay_ms=strategies.sampled_from([0, 300, 3_000]))
    def store_slows(self, delay_ms: int) -> None:
        """Let the store take its time."""
        self.world.store.faults.delay_ms = delay_ms
        self._count('store slowed')

    @stateful.rule(
        names=strategies.lists(_WORKERS, unique=True, min_size=1),
        is_failing=strategies.booleans(),
    )
    def backends_fail(self, names: list[str], is_failing: bool) -> None:
        """Let backend servers fail all that they are given, or recover."""
        for name in names:
            run = self.world.agents_by_name.get(name)
            if run is not None:
                run.backend.is_failing = is_failing
                self._count('backend server failing')

    @stateful.rule(name=_WORKERS)
    def backend_leaves(self, name: str) -> None:
        """Let a backend server announce that it leaves."""
        run = self.world.agents_by_name.get(name)
        if run is None or run.backend.has_left_ms is not None:
            return
        run.backend.has_left_ms = self.world.now_ms
        run.inbox.append(BackendLeft())
        self._count('backend server left')

    @stateful.rule(name=_NAMES)
    def stop(self, name: str) -> None:
        """Ask a process to stop, perhaps again."""
        run = self._run(name)
        if run is None:
            return
        run.inbox.append(_stop_request(run))
        run.stopping_since_ms = self.world.now_ms
        self._count('planned stop')

    @stateful.rule(
        name=_ENTRIES,
        accounts=strategies.sampled_from(
            [['galway'], ['sligo'], ['galway', 'sligo']]
        ),
        step=strategies.integers(0, 2),
        weight=strategies.integers(1, 5),
    )
    def apply_ticket(
        self, name: str, accounts: list[str], step: int, weight: int
    ) -> None:
        """Apply a ticket whose number may be used already."""
        self._ticket += step
        document = tickets.weight_ticket(self._ticket, accounts, weight)
        self._apply(name, self._ticket, document)

    @stateful.invariant()
    def holds(self) -> None:
        """Check what must hold at any moment."""
        self.oracle.check(self.world)

    def teardown(self) -> None:
        """Mend everything, then check that everything has ended."""
        self._advance(STILL_ABSENT_MS)
        self.world.network.heal_all()
        faults = self.world.store.faults
        faults.outage = False
        faults.delay_ms = 0
        for name in worlds.ENTRIES:
            self._revive(name)
        for name in worlds.RACK_BY_WORKER:
            run = self._run(name)
            if run is not None:
                run.backend.is_failing = False
            if run is None or run.backend.has_left_ms is not None:
                self.world.kill_agent(name)
                self._revive(name)
        self._advance(SETTLE_MS, SETTLE_STEP_MS)
        self.oracle.check_settled(self.world)
        self._check_accepted()

    def _check_accepted(self) -> None:
        """Check that each accepted request has ended, at any entry."""
        asked = {}
        for label, request_id in self.oracle.accepted_by_label.items():
            for name, run in self.world.entries_by_name.items():
                call = self._note_fetch(name, label)
                asked[call.call_id] = (label, name)
                run.inbox.append(
                    entry.OutcomeRequested(
                        call.call_id, self._account_of(label), request_id
                    )
                )
        self._advance(5_000)
        for call_id, (label, name) in asked.items():
            reply = self.oracle.calls_by_id[call_id].reply
            if reply is None or isinstance(reply, entry.Pending):
                raise oracles.PromiseBroken(
                    f'{label} was accepted, yet {name} says {reply}'
                )

    def _advance(self, by_ms: int, step_ms: int = worlds.STEP_MS) -> None:
        for _ in range(0, by_ms, CHECK_INTERVAL_MS):
            self.world.advance(min(CHECK_INTERVAL_MS, by_ms), step_ms)
            self.oracle.check(self.world)

    def _revive(self, name: str) -> None:
        if self._run(name) is not None:
            return
        if name in worlds.ENTRIES:
            self.world.start_entry(name)
        else:
            self.world.start_agent(name)

    def _submit(
        self,
        name: str,
        account: str,
        method: str,
        is_async: bool,
        label: str,
    ) -> None:
        run = self.world.entries_by_name.get(name)
        if run is None or run.stopping_since_ms is not None:
            return
        body = f'{label}/{account}/{method}'.encode()
        is_idempotent = method != 'audio'
        call = self._note_call(name, label, body, is_idempotent, is_async)
        self._calls.append(call)
        work = _work(account, method, body)
        run.inbox.append(
            entry.RequestSubmitted(call.call_id, work, is_async, label)
        )

    def _note_call(
        self,
        name: str,
        label: str,
        body: bytes,
        is_idempotent: bool,
        is_async: bool,
    ) -> oracles.Call:
        run = self.world.entries_by_name[name]
        call = oracles.Call(
            next(self._call_ids),
            label,
            name,
            run.me.incarnation,
            body,
            is_idempotent,
            is_async,
            self.world.now_ms,
        )
        self.oracle.calls_by_id[call.call_id] = call
        return call

    def _note_fetch(self, name: str, label: str) -> oracles.Call:
        body = next(call.body for call in self._calls if call.label == label)
        return self._note_call(name, f'fetch of {label}', body, True, False)

    def _apply(self, name: str, number: int, document: bytes) -> None:
        run = self.world.entries_by_name.get(name)
        if run is None:
            return
        call_id = next(self._call_ids)
        self.oracle.ticket_calls_by_id[call_id] = number
        run.inbox.append(entry.TicketSubmitted(call_id, document))

    def _abandon(self, name: str) -> None:
        for call in self.oracle.calls_by_id.values():
            if call.entry == name and call.reply is None:
                call.is_abandoned = True

    def _account_of(self, label: str) -> str:
        for call in self._calls:
            if call.label == label:
                return call.body.decode().split('/')[1]
        raise KeyError(label)

    def _run(
        self, name: str
    ) -> processes.EntryRun | processes.AgentRun | None:
        if name in worlds.ENTRIES:
            return self.world.entries_by_name.get(name)
        return self.world.agents_by_name.get(name)

    def _count(self, fault: str) -> None:
        self.world.faults[fault] += 1


def _stop_request(
    run: processes.EntryRun | processes.AgentRun,
) -> entry.Input:
    if isinstance(run, processes.EntryRun):
        return entry.StopRequested()
    return processes.agent.StopRequested()


def _work(account: str, method: str, body: bytes) -> messages.Work:
    document = tickets.methods()[method]
    demand = dict(document['demand'])
    demand['adjacency'] = shapes.Adjacency(demand['adjacency'])
    return messages.Work(
        request_id='',
        account=account,
        service='press',
        method=method,
        request_class=shapes.RequestClass[document['request_class'].upper()],
        demand=shapes.Demand(**demand),
        content_type='text/plain',
        body=body,
        is_idempotent=document.get('is_idempotent', True),
        is_checkpointable=document.get('is_checkpointable', False),
        declared_run_ms=1_000,
        deadline_ms=DEADLINE_MS,
    )
