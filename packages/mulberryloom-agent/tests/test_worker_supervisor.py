"""Tests of the agent's worker state: orders, replies and leases."""

import dataclasses

from mulberryloom_agent.jobs import crash_history
from mulberryloom_agent.jobs import worker_calls
from mulberryloom_agent.jobs import worker_candidates
from mulberryloom_agent.jobs import worker_supervisor
from mulberryloom_core import messages

GENERATION = 5
START = messages.StartRun('job.0.0.0', 1, 'payload', '')
DONE = worker_calls.CallStatus.DONE


def _info(boot=1, sequence=1, **fields):
    values = {'is_draining': False, 'remaining_ms': 0, **fields}
    return worker_calls.WorkerInfo(
        values.get('worker', 'w'),
        boot,
        sequence,
        values.get('service', 's'),
        '127.0.0.1:1',
        'dc',
        'r',
        ('a', 'r'),
        16_000,
        16_000,
        values.get('accelerators', 8),
        values['is_draining'],
        values['remaining_ms'],
        values.get('warmup_left_ms', 0),
    )


def _hold_reply(now_ms, running=(), ended=(), boot=1):
    """Return a reply that lists these run numbers of the task as running."""
    return worker_calls.HoldReply(
        DONE,
        now_ms,
        boot,
        tuple(messages.RunningTask(START.task, r, '', 0) for r in running),
        tuple(ended),
    )


class Agent:
    """A supervisor with a leader that has read its worker's lists of runs."""

    def __init__(self):
        self.now_ms = 100_000
        options = worker_supervisor.WorkerSupervisorOptions()
        self.supervisor = worker_supervisor.WorkerSupervisor(
            options, self.now_ms
        )
        self.supervisor.on_heartbeat(_info(), self.now_ms)
        self.supervisor.follow(GENERATION, self.now_ms)
        (hold,) = self.calls()
        self.supervisor.on_hold_reply(
            hold, _hold_reply(self.now_ms), self.now_ms
        )
        self.sequence = 0

    def calls(self, kind=worker_calls.HoldCall):
        """Return the due calls of one kind; others are discarded."""
        due = self.supervisor.due_calls(self.now_ms)
        return [call for call in due if isinstance(call, kind)]

    def hold(self, running=()):
        """Answer the due hold call; no long-poll time passes."""
        (hold,) = self.calls()
        self.supervisor.on_hold_reply(
            hold, _hold_reply(self.now_ms, running), self.now_ms
        )

    def replace_worker(self, info, answering_boot=None, running=()):
        """Deliver a heartbeat of another incarnation, and ask who answers.

        :param answering_boot: start of the incarnation that answers; by
            default the one that the heartbeat names.
        """
        self.supervisor.on_heartbeat(info, self.now_ms)
        verification = self.calls()[0]
        boot = info.boot if answering_boot is None else answering_boot
        self.supervisor.on_hold_reply(
            verification,
            _hold_reply(self.now_ms, running, boot=boot),
            self.now_ms,
        )

    def order(self, *, starts=(), stops=(), echo_ms=None, observed=0):
        """Deliver the next orders of the leader.

        :param echo_ms: send time of the report that they echo; by default
            the current time.
        """
        self.sequence += 1
        echo_ms = self.now_ms if echo_ms is None else echo_ms
        orders = messages.WorkerOrders(
            GENERATION,
            self.sequence,
            'w',
            1,
            echo_ms,
            observed,
            list(starts),
            list(stops),
        )
        self.supervisor.on_orders(orders, self.now_ms)

    def outlive_calls_of_earlier_process(self):
        """Advance to a time at which none can be carried out any more."""
        for _ in range(14):
            self.now_ms += 500
            self.order()
            for hold in self.calls():
                self.supervisor.on_hold_reply(
                    hold, _hold_reply(self.now_ms), self.now_ms
                )

    def has_reported(self, run):
        """Whether the next report contains a run of any state.

        Advances the clock by one second.
        """
        self.supervisor.on_heartbeat(
            _info(sequence=self.now_ms, remaining_ms=self.now_ms), self.now_ms
        )
        self.now_ms += 1_000
        report = self.supervisor.take_report(self.now_ms)
        items = [*report.running, *report.ended, *report.starting]
        return any(item.run_number == run for item in items)


def test_worker_whose_runs_stand_still_is_polled_and_reported_faster():
    """The leader learned of a hanging worker up to 2.5 s later."""
    agent = Agent()
    agent.hold(running=[1])
    agent.supervisor.take_report(agent.now_ms)
    agent.now_ms += 800
    agent.hold(running=[1])
    assert agent.supervisor.take_report(agent.now_ms) is not None
    assert agent.calls() == []
    agent.now_ms += 300
    (call,) = agent.calls()
    assert call.wait_ms == 0


def test_worker_of_long_runs_is_polled_as_usual():
    agent = Agent()
    agent.hold(running=[1])
    agent.now_ms += 4_000
    agent.hold(running=[1])
    (call,) = agent.calls()
    assert call.wait_ms > 0


def test_report_tells_the_age_of_the_lists_of_a_silent_worker():
    """Without it, a silent worker looks like one without progress."""
    agent = Agent()
    agent.now_ms += 2_000
    report = agent.supervisor.take_report(agent.now_ms)
    assert report.lists_age_ms == 2_000


def test_superseded_orders_start_no_run():
    """The leader already knows from a report that the run did not start."""
    agent = Agent()
    agent.sequence = 8
    agent.order()
    agent.sequence = 3
    agent.order(starts=[START])
    assert agent.calls(worker_calls.StartCall) == []
    assert not agent.has_reported(1)
    report = agent.supervisor.take_report(agent.now_ms + 2_000)
    assert report.orders_sequence == 9


def test_speed_of_the_vm_is_reported_to_the_next_leader():
    """A new leader that does not learn it plans on equal workers at first.

    It knows nothing yet, and its first orders say so.
    """
    agent = Agent()
    for generation, speed_permille in ((GENERATION, 620), (GENERATION + 1, 0)):
        orders = messages.WorkerOrders(
            generation, 1, 'w', 1, agent.now_ms, 0, [], [], speed_permille
        )
        agent.supervisor.on_orders(orders, agent.now_ms)
        agent.now_ms += 1_000
        report = agent.supervisor.take_report(agent.now_ms)
        assert (report.generation, report.speed_permille) == (generation, 620)


def test_superseded_orders_still_stop_runs():
    agent = Agent()
    agent.sequence = 8
    agent.order()
    agent.sequence = 3
    agent.order(stops=[messages.RunRef(START.task, 1)])
    (stop,) = agent.calls(worker_calls.StopCall)
    assert stop.run.run_number == 1


def test_run_listed_before_its_start_reply_stays_reported():
    agent = Agent()
    (early,) = agent.calls()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    agent.now_ms += 5
    agent.supervisor.on_hold_reply(
        early, _hold_reply(agent.now_ms, [1]), agent.now_ms
    )
    late = agent.calls()[0]
    assert late.call_id > early.call_id
    reply = worker_calls.CallReply(DONE, agent.now_ms)
    agent.supervisor.on_start_reply(start, reply, agent.now_ms)
    agent.supervisor.on_hold_reply(
        late, _hold_reply(agent.now_ms, [1]), agent.now_ms
    )
    assert agent.has_reported(1)


def test_reply_to_an_older_hold_call_does_not_drop_a_listed_run():
    agent = Agent()
    agent.supervisor.on_orders(
        messages.WorkerOrders(
            GENERATION, 1, 'w', 1, agent.now_ms, 1, [START], []
        ),
        agent.now_ms,
    )
    due = agent.supervisor.due_calls(agent.now_ms)
    first = next(c for c in due if isinstance(c, worker_calls.HoldCall))
    start = next(c for c in due if isinstance(c, worker_calls.StartCall))
    reply = worker_calls.CallReply(DONE, agent.now_ms)
    agent.supervisor.on_start_reply(start, reply, agent.now_ms)
    (second,) = agent.calls()
    agent.supervisor.on_hold_reply(
        second, _hold_reply(agent.now_ms, [1]), agent.now_ms
    )
    agent.supervisor.on_hold_reply(
        first, _hold_reply(agent.now_ms), agent.now_ms
    )
    assert agent.has_reported(1)


def test_listed_run_survives_lists_that_were_requested_earlier():
    """The second hold call is sent before the first reply lists the run."""
    agent = Agent()
    (first,) = agent.calls()
    agent.order(starts=[START])
    agent.calls(worker_calls.StartCall)
    other = messages.StartRun('job.0.0.1', 1, 'payload', '')
    agent.order(starts=[other])
    (call,) = agent.calls(worker_calls.StartCall)
    reply = worker_calls.CallReply(DONE, agent.now_ms)
    agent.supervisor.on_start_reply(call, reply, agent.now_ms)
    (second,) = agent.calls()
    agent.supervisor.on_hold_reply(
        first, _hold_reply(agent.now_ms, [1]), agent.now_ms
    )
    agent.supervisor.on_hold_reply(
        second, _hold_reply(agent.now_ms), agent.now_ms
    )
    assert agent.has_reported(1)


def test_start_in_delayed_orders_is_refused():
    agent = Agent()
    agent.outlive_calls_of_earlier_process()
    agent.order(starts=[START], echo_ms=agent.now_ms - 3_000)
    assert agent.calls(worker_calls.StartCall) == []
    assert not agent.has_reported(1)


def test_start_without_a_reply_is_stopped_when_it_expires():
    agent = Agent()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    unknown = worker_calls.CallReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_start_reply(start, unknown, agent.now_ms)
    agent.now_ms += 3_000
    (stop,) = agent.calls(worker_calls.StopCall)
    assert stop.run == messages.RunRef(START.task, 1)
    assert agent.has_reported(1)


def test_draining_worker_is_sent_no_start():
    agent = Agent()
    agent.supervisor.on_heartbeat(
        _info(sequence=2, is_draining=True), agent.now_ms
    )
    agent.order(starts=[START])
    assert agent.calls(worker_calls.StartCall) == []


def test_heartbeat_of_an_earlier_incarnation_is_ignored():
    agent = Agent()
    agent.replace_worker(_info(boot=2))
    agent.replace_worker(_info(boot=1, sequence=99), answering_boot=2)
    assert agent.supervisor.info.boot == 2


def test_answering_incarnation_is_current_though_its_start_is_dated_back():
    agent = Agent()
    agent.replace_worker(_info(boot=9))
    agent.supervisor.on_heartbeat(_info(boot=5), agent.now_ms)
    assert agent.supervisor.info.boot == 9
    agent.replace_worker(_info(boot=5, sequence=2))
    assert agent.supervisor.info.boot == 5
    agent.replace_worker(_info(boot=9, sequence=99), answering_boot=5)
    assert agent.supervisor.info.boot == 5


def test_delayed_heartbeat_of_a_dead_incarnation_does_not_displace_the_live():
    agent = Agent()
    agent.replace_worker(_info(boot=5))
    agent.replace_worker(_info(boot=9), answering_boot=5)
    assert agent.supervisor.info.boot == 5
    agent.supervisor.on_heartbeat(_info(boot=5, sequence=2), agent.now_ms)
    assert agent.supervisor.info.sequence == 2


def _reply_of_another_worker():
    return worker_calls.HoldReply(worker_calls.CallStatus.OTHER_INCARNATION)


# Guards against two runs of one task: a heartbeat of another writer made the
# agent drop its worker, whose runs went on.
def test_worker_that_does_not_answer_replaces_none():
    agent = Agent()
    agent.outlive_calls_of_earlier_process()
    agent.hold(running=[1])
    foreign = _info(worker='x', boot=9, service='no-such-service')
    agent.supervisor.on_heartbeat(foreign, agent.now_ms)
    verification, hold = agent.calls()
    assert verification.worker == 'x'
    assert (verification.deadline_ms, verification.observed) == (0, 0)
    agent.supervisor.on_hold_reply(
        verification, _reply_of_another_worker(), agent.now_ms
    )
    agent.now_ms += 900
    agent.order()
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms, [1]), agent.now_ms
    )
    report = agent.supervisor.take_report(agent.now_ms)
    assert (report.worker, report.boot) == ('w', 1)
    assert [item.run_number for item in report.running] == [1]
    assert report.is_alive
    agent.now_ms += 300
    (hold,) = agent.calls()
    assert (hold.worker, hold.deadline_ms > agent.now_ms) == ('w', True)


def test_successor_under_another_name_takes_over_once_it_answers():
    agent = Agent()
    agent.hold(running=[1])
    successor = _info(worker='x', boot=9)
    agent.supervisor.on_heartbeat(successor, agent.now_ms)
    assert agent.supervisor.info.worker == 'w'
    verification = agent.calls()[0]
    lost = worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_hold_reply(verification, lost, agent.now_ms)
    agent.now_ms += 150
    verification = agent.calls()[0]
    agent.supervisor.on_hold_reply(
        verification, _hold_reply(agent.now_ms, boot=9), agent.now_ms
    )
    report = agent.supervisor.take_report(agent.now_ms)
    assert (report.worker, report.boot) == ('x', 9)
    assert report.is_listed
    assert not report.running


# Guards against runs that a leader gives up since a restarted agent reports
# the first heartbeat that it gets.
def test_restarted_agent_reports_no_worker_before_it_has_answered():
    options = worker_supervisor.WorkerSupervisorOptions()
    supervisor = worker_supervisor.WorkerSupervisor(options, 1_000)
    supervisor.follow(GENERATION, 1_000)
    supervisor.on_heartbeat(_info(worker='x', boot=9), 1_000)
    supervisor.on_heartbeat(_info(), 1_000)
    foreign, own = supervisor.due_calls(1_000)
    assert supervisor.take_report(1_000) is None
    supervisor.on_hold_reply(foreign, _reply_of_another_worker(), 1_000)
    assert supervisor.take_report(1_000) is None
    supervisor.on_hold_reply(own, _hold_reply(1_000, [1]), 1_000)
    report = supervisor.take_report(1_000)
    assert (report.worker, len(report.running)) == ('w', 1)


# Guards against calls for ever to a worker that is not there.
def test_worker_that_never_answers_is_no_longer_asked():
    agent = Agent()
    agent.supervisor.on_heartbeat(_info(worker='x', boot=9), agent.now_ms)
    options = worker_supervisor.WorkerSupervisorOptions()
    asked = 0
    for _ in range(60):
        agent.now_ms += options.retry_delay_ms
        for call in agent.calls():
            asked += call.worker == 'x'
            lost = worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)
            agent.supervisor.on_hold_reply(call, lost, agent.now_ms)
    assert 0 < asked <= options.candidate_ttl_ms / options.retry_delay_ms


# Guards against memory that grows with the heartbeats of other writers.
def test_unconfirmed_workers_are_bounded():
    agent = Agent()
    for boot in range(100):
        agent.supervisor.on_heartbeat(
            _info(worker=f'x{boot}', boot=boot), agent.now_ms
        )
    asked = [call.worker for call in agent.calls()]
    assert len(asked) <= worker_candidates.MAX_CANDIDATES + 1
    assert 'x99' in asked


# Guards against runs that are stopped since a heartbeat of another writer
# gives their worker another service, rack or place.
def test_heartbeat_that_changes_what_a_life_cannot_change_is_ignored():
    agent = Agent()
    agent.supervisor.on_heartbeat(
        _info(sequence=1_000, service='no-such-service'), agent.now_ms
    )
    assert agent.supervisor.info.service == 's'
    agent.supervisor.on_heartbeat(
        _info(sequence=2, accelerators=4), agent.now_ms
    )
    assert agent.supervisor.info.accelerators == 4


# Guards against a worker whose heartbeats count as late for ever, since one of
# another writer had a high number; it could not drain any more.
def test_heartbeats_count_again_after_a_foreign_one_with_a_high_number():
    agent = Agent()
    agent.supervisor.on_heartbeat(_info(sequence=1 << 53), agent.now_ms)
    for sequence in range(2, 6):
        agent.now_ms += 1_500
        agent.supervisor.on_heartbeat(
            _info(sequence=sequence, is_draining=True), agent.now_ms
        )
    assert agent.supervisor.info.is_draining
    assert agent.supervisor.info.sequence == 5


# Guards against a worker that gets no work of its service, since a foreign
# heartbeat with its id and start came before its answer.
def test_description_of_a_candidate_is_the_one_whose_heartbeats_go_on():
    agent = Agent()
    foreign = _info(boot=2, sequence=1 << 40, service='x', accelerators=64)
    agent.supervisor.on_heartbeat(foreign, agent.now_ms)
    agent.replace_worker(_info(boot=2, sequence=7))
    assert agent.supervisor.info.service == 's'
    agent.supervisor.on_heartbeat(_info(boot=3), agent.now_ms)
    agent.supervisor.on_heartbeat(_info(boot=3, sequence=2), agent.now_ms)
    agent.replace_worker(_info(boot=3, sequence=1 << 40, service='x'))
    report = agent.supervisor.take_report(agent.now_ms)
    assert (report.boot, report.service) == (3, 's')


def _agent_with_foreign_description():
    """Return an agent whose worker runs a task and was described falsely."""
    agent = Agent()
    agent.outlive_calls_of_earlier_process()
    agent.replace_worker(
        _info(boot=2, sequence=1 << 40, service='x', accelerators=64),
        running=[1],
    )
    agent.supervisor.take_report(agent.now_ms)
    return agent


def _answer_holds(agent):
    for hold in agent.calls():
        agent.supervisor.on_hold_reply(
            hold, _hold_reply(agent.now_ms, [1], boot=2), agent.now_ms
        )


# Guards against a worker whose heartbeats are ignored until it ends, since its
# first one was of another writer.
def test_description_whose_heartbeats_go_on_is_adopted_with_all_runs():
    agent = _agent_with_foreign_description()
    for sequence in (7, 8, 9):
        agent.now_ms += 1_300
        _answer_holds(agent)
        agent.supervisor.take_report(agent.now_ms)
        lease_end_ms = agent.supervisor._lease_end_ms
        agent.supervisor.on_heartbeat(
            _info(boot=2, sequence=sequence), agent.now_ms
        )
    report = agent.supervisor.take_report(agent.now_ms)
    assert (report.boot, report.service) == (2, 's')
    assert report.accelerators == 8
    assert (report.is_listed, report.is_alive) == (True, True)
    assert [item.run_number for item in report.running] == [1]
    assert agent.supervisor._lease_end_ms == lease_end_ms
    agent.now_ms += 1_300
    _answer_holds(agent)
    agent.supervisor.on_heartbeat(
        _info(boot=2, sequence=10, is_draining=True), agent.now_ms
    )
    assert agent.supervisor.info.is_draining


# Guards against another writer that describes a worker anew between the
# worker's own heartbeats, or while the worker is frozen.
def test_foreign_description_is_ignored_beside_own_or_without_answers():
    agent = Agent()
    for sequence in range(2, 20):
        for offset, service in enumerate(('x', 'x', 's')):
            agent.now_ms += 500
            agent.hold()
            number = 1_000 + 10 * sequence + offset
            agent.supervisor.on_heartbeat(
                _info(
                    sequence=sequence if service == 's' else number,
                    service=service,
                ),
                agent.now_ms,
            )
            assert agent.supervisor.info.service == 's'
    for sequence in range(2_000, 2_010):
        agent.now_ms += 2_500
        agent.supervisor.on_heartbeat(
            _info(sequence=sequence, service='x'), agent.now_ms
        )
    assert agent.supervisor.info.service == 's'


# Guards against a worker whose heartbeats count as late for ever, since a
# foreign one with a high number came twice.
def test_repeated_high_number_does_not_hide_the_heartbeats_that_go_on():
    agent = Agent()
    foreign = _info(sequence=1 << 53)
    agent.supervisor.on_heartbeat(foreign, agent.now_ms)
    agent.now_ms += 1_500
    agent.supervisor.on_heartbeat(_info(sequence=2), agent.now_ms)
    outcome = agent.supervisor.on_heartbeat(foreign, agent.now_ms)
    assert outcome is worker_supervisor.HeartbeatOutcome.LATE
    for sequence in (3, 4):
        agent.now_ms += 1_500
        agent.supervisor.on_heartbeat(
            _info(sequence=sequence, is_draining=True), agent.now_ms
        )
    assert agent.supervisor.info.is_draining


# Guards against a draining worker that counts as ready again by two old
# heartbeats, which were held up for different times.
def test_two_late_heartbeats_do_not_count_as_a_worker_that_goes_on():
    agent = Agent()
    agent.supervisor.on_heartbeat(
        _info(sequence=101, is_draining=True), agent.now_ms
    )
    for sequence in (90, 91):
        outcome = agent.supervisor.on_heartbeat(
            _info(sequence=sequence), agent.now_ms
        )
        assert outcome is worker_supervisor.HeartbeatOutcome.LATE
        agent.now_ms += 2_100
    assert agent.supervisor.info.is_draining


# Guards against heartbeats that are applied in the wrong order: some were held
# up, and arrive together after a later one.
def test_late_heartbeats_are_ignored():
    agent = Agent()
    agent.supervisor.on_heartbeat(
        _info(sequence=9, is_draining=True), agent.now_ms
    )
    for sequence in (5, 6, 7, 8, 6, 7, 8):
        agent.now_ms += 400
        agent.supervisor.on_heartbeat(_info(sequence=sequence), agent.now_ms)
    assert agent.supervisor.info.is_draining
    agent.now_ms += 1_500
    agent.supervisor.on_heartbeat(_info(sequence=10), agent.now_ms)
    assert not agent.supervisor.info.is_draining


# Guards against lists of before a new leader, which count as read under it.
def test_candidate_is_verified_anew_under_a_new_leader():
    agent = Agent()
    agent.supervisor.on_heartbeat(_info(boot=2), agent.now_ms)
    early = agent.calls()[0]
    agent.supervisor.follow(GENERATION + 1, agent.now_ms)
    agent.supervisor.on_hold_reply(
        early, _hold_reply(agent.now_ms, boot=2), agent.now_ms
    )
    assert agent.supervisor.info.boot == 1
    again = agent.calls()[0]
    assert again.generation == GENERATION + 1
    agent.supervisor.on_hold_reply(
        again, _hold_reply(agent.now_ms, boot=2), agent.now_ms
    )
    assert agent.supervisor.info.boot == 2


# Guards against a dead worker that displaces its successor by an answer that
# it gave before it ended.
def test_answer_that_was_asked_for_before_the_successor_came_is_ignored():
    agent = Agent()
    agent.supervisor.on_heartbeat(_info(boot=2), agent.now_ms)
    early = agent.calls()[0]
    agent.supervisor.on_heartbeat(_info(boot=3), agent.now_ms)
    verification = agent.calls()[0]
    agent.supervisor.on_hold_reply(
        verification, _hold_reply(agent.now_ms, boot=3), agent.now_ms
    )
    agent.supervisor.on_hold_reply(
        early, _hold_reply(agent.now_ms, boot=2), agent.now_ms
    )
    assert agent.supervisor.info.boot == 3


def test_lease_is_renewed_only_while_leadership_is_confirmed():
    agent = Agent()
    agent.order()
    (hold,) = agent.calls()
    assert hold.deadline_ms > 0
    agent.now_ms += 3_000
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    (hold,) = agent.calls()
    assert hold.deadline_ms == 0


def test_new_incarnation_is_not_sent_an_earlier_acknowledgement():
    agent = Agent()
    agent.order(observed=7)
    (hold,) = agent.calls()
    assert (hold.observed, hold.boot) == (7, 1)
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms, boot=2), agent.now_ms
    )
    agent.now_ms += 500
    (hold,) = agent.calls()
    assert hold.observed == 0


def _answer_hold(agent, ended=(), is_partial=False):
    """Answer the due hold call.

    :return: the number up to which the call acknowledges ends.
    """
    agent.now_ms += 500
    (hold,) = agent.calls()
    reply = dataclasses.replace(
        _hold_reply(agent.now_ms, ended=ended), is_partial=is_partial
    )
    agent.supervisor.on_hold_reply(hold, reply, agent.now_ms)
    return hold.observed


def _end(sequence):
    return messages.EndedTask(sequence, f'job.0.0.{sequence}', 1, 'done', '')


# Guards against ends of a restarted worker that are forgotten unseen: every
# call carried the number, and one may be carried out after the restart.
def test_forgotten_ends_are_not_acknowledged_again():
    agent = Agent()
    agent.order(observed=7)
    assert _answer_hold(agent) == 7
    assert _answer_hold(agent) == 0
    assert _answer_hold(agent, [_end(8)]) == 0
    agent.order(observed=8)
    assert _answer_hold(agent) == 8
    assert _answer_hold(agent) == 0


# Guards against ends that the worker lists for ever: the call that was to
# acknowledge them did so in vain, or its reply left out some of them.
def test_ends_are_acknowledged_until_the_worker_forgets_them():
    agent = Agent()
    agent.order(observed=7)
    assert _answer_hold(agent, [_end(7), _end(8)]) == 7
    assert _answer_hold(agent, [_end(8)], is_partial=True) == 7
    assert _answer_hold(agent, [_end(8)]) == 7
    assert _answer_hold(agent, [_end(7), _end(8)]) == 0
    assert _answer_hold(agent, [_end(8)]) == 7
    assert _answer_hold(agent, [_end(8)]) == 0


# Guards against an acknowledgement that is given up without an answer.
def test_unanswered_acknowledgement_is_repeated():
    agent = Agent()
    agent.order(observed=7)
    (hold,) = agent.calls()
    unanswered = worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_hold_reply(hold, unanswered, agent.now_ms)
    assert _answer_hold(agent) == 7


def test_orders_of_a_deposed_leader_are_ignored():
    agent = Agent()
    agent.supervisor.follow(GENERATION + 1, agent.now_ms)
    agent.order(starts=[START])
    assert agent.calls(worker_calls.StartCall) == []


# Guards against the work of a lost worker that starts elsewhere late: its
# lease was renewed after it had fallen silent, and its end reported late.
def test_end_of_a_silent_workers_lease_is_reported_at_once():
    agent = Agent()
    agent.outlive_calls_of_earlier_process()
    options = worker_supervisor.WorkerSupervisorOptions()
    lost = worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)
    silent_ms = agent.now_ms
    is_alive = True
    while is_alive and agent.now_ms - silent_ms < 20_000:
        agent.now_ms += 50
        agent.order()
        for hold in agent.calls():
            agent.supervisor.on_hold_reply(hold, lost, agent.now_ms)
        report = agent.supervisor.take_report(agent.now_ms)
        is_alive = report is None or report.is_alive
    limit_ms = 1_500 + options.lease_ms + options.lease_slack_ms
    assert agent.now_ms - silent_ms <= limit_ms + 100


def _resume_after_lease(agent):
    """Suspend the agent beyond its worker's lease.

    Returns the hold call and the report that follow the suspension.
    """
    (hold,) = agent.calls()
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms, [1]), agent.now_ms
    )
    agent.now_ms += 8_000
    (hold,) = agent.calls()
    return hold, agent.supervisor.take_report(agent.now_ms)


def test_resumed_agent_awaits_the_lists_before_it_reports_expiry():
    """The worker went on while its agent was frozen and has ended the run."""
    agent = Agent()
    agent.order(starts=[START])
    hold, report = _resume_after_lease(agent)
    assert report.is_alive
    agent.now_ms += 5
    done = messages.EndedTask(1, START.task, 1, 'done', '')
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms, ended=[done]), agent.now_ms
    )
    report = agent.supervisor.take_report(agent.now_ms)
    assert report.is_alive
    assert report.ended == [done]


# Guards against two runs of one task: the worker's clock stands still while
# its VM is suspended, and a deadline by the old offset lies too far ahead.
def test_resumed_agent_sets_no_deadline_before_it_knows_the_clock_anew():
    agent = Agent()
    agent.now_ms += 5_000
    agent.order(starts=[START])
    (hold,) = agent.supervisor.due_calls(agent.now_ms)
    assert hold.deadline_ms == 0
    worker_clock_ms = agent.now_ms - 5_000
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(worker_clock_ms), agent.now_ms
    )
    (start,) = agent.calls(worker_calls.StartCall)
    assert start.deadline_ms == worker_clock_ms + 6_000


def test_agent_with_slow_rounds_renews_the_lease():
    """A reply that is handled after the pause tells the clock anew."""
    agent = Agent()
    for _ in range(4):
        agent.now_ms += 1_200
        agent.order()
        for call in agent.calls():
            agent.supervisor.on_hold_reply(
                call, _hold_reply(agent.now_ms), agent.now_ms
            )
        (hold,) = agent.calls()
        agent.now_ms += 1_200
        agent.order()
        agent.supervisor.on_hold_reply(
            hold, _hold_reply(agent.now_ms), agent.now_ms
        )
        (hold,) = agent.calls()
        assert hold.deadline_ms == agent.now_ms + 6_000
        agent.supervisor.on_hold_reply(
            hold, _hold_reply(agent.now_ms), agent.now_ms
        )


def test_resumed_agent_reports_expiry_of_a_silent_worker():
    agent = Agent()
    agent.order(starts=[START])
    _resume_after_lease(agent)
    options = worker_supervisor.WorkerSupervisorOptions()
    deadline_ms = agent.now_ms + options.resumption_ms
    while agent.now_ms < deadline_ms:
        agent.now_ms += 100
        agent.calls()
    report = agent.supervisor.take_report(
        agent.now_ms + options.report_interval_ms
    )
    assert not report.is_alive


# Guards against two runs of one task: the worker may still carry out a start
# call that it did not answer, after it has refused the next one.
def test_start_refused_after_an_unanswered_call_is_stopped():
    agent = Agent()
    agent.order(starts=[START])
    (first,) = agent.calls(worker_calls.StartCall)
    agent.now_ms += 500
    unanswered = worker_calls.CallReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_start_reply(first, unanswered, agent.now_ms)
    agent.now_ms += 150
    (second,) = agent.calls(worker_calls.StartCall)
    refused = worker_calls.CallReply(worker_calls.CallStatus.UNHEALTHY)
    agent.supervisor.on_start_reply(second, refused, agent.now_ms)
    (stop,) = agent.calls(worker_calls.StopCall)
    assert stop.run == messages.RunRef(START.task, 1)
    assert agent.has_reported(1)


# Guards against two runs of one task: the worker may still carry out a start
# call of the agent's earlier process, which had been given the same order.
def test_start_refused_by_a_restarted_agent_is_stopped():
    agent = Agent()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    refused = worker_calls.CallReply(worker_calls.CallStatus.UNHEALTHY)
    agent.supervisor.on_start_reply(start, refused, agent.now_ms)
    (stop,) = agent.calls(worker_calls.StopCall)
    assert stop.run == messages.RunRef(START.task, 1)
    assert agent.has_reported(1)


def test_start_refused_at_once_is_reported_as_not_carried_out():
    agent = Agent()
    agent.outlive_calls_of_earlier_process()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    refused = worker_calls.CallReply(worker_calls.CallStatus.UNHEALTHY)
    agent.supervisor.on_start_reply(start, refused, agent.now_ms)
    assert agent.calls(worker_calls.StopCall) == []
    assert not agent.has_reported(1)


# Guards against a start after the task was done: the worker refuses the
# repetition of a call that it has carried out to the end.
def test_superseded_start_is_reported_until_the_lists_show_its_end():
    agent = Agent()
    (hold,) = agent.calls()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    reply = worker_calls.CallReply(worker_calls.CallStatus.SUPERSEDED)
    agent.supervisor.on_start_reply(start, reply, agent.now_ms)
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    assert agent.has_reported(1)


# Guards against two runs of one task: the late call may have been carried out
# after the last lists were read.
def test_stop_of_a_refused_start_is_kept_until_later_lists_lack_the_run():
    agent = Agent()
    agent.order(starts=[START])
    hold, start = agent.supervisor.due_calls(agent.now_ms)
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    refused = worker_calls.CallReply(worker_calls.CallStatus.UNHEALTHY)
    agent.supervisor.on_start_reply(start, refused, agent.now_ms)
    hold, stop = agent.supervisor.due_calls(agent.now_ms)
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    agent.supervisor.on_stop_reply(stop, refused, agent.now_ms)
    agent.now_ms += 6_300
    hold, stop = agent.supervisor.due_calls(agent.now_ms)
    agent.supervisor.on_stop_reply(stop, refused, agent.now_ms)
    agent.now_ms += 200
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    (hold,) = agent.calls()
    report = agent.supervisor.take_report(agent.now_ms)
    assert report.starting == [messages.RunRef(START.task, 1)]
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    assert agent.calls(worker_calls.StopCall) == []
    assert not agent.has_reported(1)


def test_ordered_stop_of_a_run_that_cannot_start_any_more_is_dropped():
    """The worker answers holds, lists nothing and refuses every stop."""
    agent = Agent()
    agent.order(stops=[messages.RunRef(START.task, 1)])
    refused = worker_calls.CallReply(worker_calls.CallStatus.UNHEALTHY)
    for _ in range(160):
        for call in agent.supervisor.due_calls(agent.now_ms):
            if isinstance(call, worker_calls.StopCall):
                agent.supervisor.on_stop_reply(call, refused, agent.now_ms)
            else:
                agent.supervisor.on_hold_reply(
                    call, _hold_reply(agent.now_ms), agent.now_ms
                )
        agent.now_ms += 100
    assert not agent.has_reported(1)


def test_ordered_stop_of_a_running_run_is_never_dropped():
    agent = Agent()
    agent.order(stops=[messages.RunRef(START.task, 1)])
    for _ in range(160):
        for call in agent.calls():
            agent.supervisor.on_hold_reply(
                call, _hold_reply(agent.now_ms, [1]), agent.now_ms
            )
        agent.now_ms += 100
    report = agent.supervisor.take_report(agent.now_ms)
    assert messages.RunRef(START.task, 1) in report.starting


def test_restarted_agent_stops_no_run_that_its_worker_has_begun():
    agent = Agent()
    agent.replace_worker(_info(boot=2))
    agent.supervisor.follow(GENERATION + 1, agent.now_ms)
    agent.supervisor.on_heartbeat(
        _info(boot=2, sequence=2, is_draining=True), agent.now_ms
    )
    agent.supervisor.on_orders(
        messages.WorkerOrders(
            GENERATION + 1, 1, 'w', 2, agent.now_ms, 0, [START], []
        ),
        agent.now_ms,
    )
    (hold,) = agent.supervisor.due_calls(agent.now_ms)
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms, [1], boot=2), agent.now_ms
    )
    assert agent.calls(worker_calls.StopCall) == []


# Guards against two runs of one task: a restarted worker knows nothing of the
# runs that ended before, and may be reached by a start call of before.
def test_restarted_worker_is_told_to_stop_runs_whose_start_calls_are_open():
    agent = Agent()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    unanswered = worker_calls.CallReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_start_reply(start, unanswered, agent.now_ms)
    agent.now_ms += 150
    (start,) = agent.calls(worker_calls.StartCall)
    done = worker_calls.CallReply(DONE)
    agent.supervisor.on_start_reply(start, done, agent.now_ms)
    agent.now_ms += 900
    agent.replace_worker(_info(boot=2))
    (stop,) = agent.calls(worker_calls.StopCall)
    assert stop.run == messages.RunRef(START.task, 1)


# Guards against two runs of one task: the order to stop the run came while
# its start call was in flight, and the worker restarted after both.
def test_restarted_worker_is_told_to_stop_a_run_that_was_stopped_in_flight():
    agent = Agent()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    agent.order(stops=[messages.RunRef(START.task, 1)])
    (stop,) = agent.calls(worker_calls.StopCall)
    unanswered = worker_calls.CallReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_start_reply(start, unanswered, agent.now_ms)
    done = worker_calls.CallReply(DONE)
    agent.supervisor.on_stop_reply(stop, done, agent.now_ms)
    agent.now_ms += 900
    agent.replace_worker(_info(boot=2))
    (stop,) = agent.calls(worker_calls.StopCall)
    assert stop.run == messages.RunRef(START.task, 1)


# Guards against two runs of one task: a notice of leave names the worker, not
# its incarnation, and the worker may have started again under its name.
def test_late_notice_of_leave_ends_no_run_of_a_worker_that_replies():
    agent = Agent()
    agent.replace_worker(_info(boot=2), running=[1])
    agent.supervisor.on_leave('w', agent.now_ms)
    report = agent.supervisor.take_report(agent.now_ms)
    assert report.is_alive
    (hold,) = agent.calls()
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms, [1], boot=2), agent.now_ms
    )
    agent.now_ms += 1_000
    report = agent.supervisor.take_report(agent.now_ms)
    assert report.is_alive
    assert [item.run_number for item in report.running] == [1]


def _not_listening():
    return worker_calls.HoldReply(worker_calls.CallStatus.NOT_LISTENING)


def test_leaving_worker_is_gone_once_nothing_listens():
    agent = Agent()
    (hold,) = agent.calls()
    agent.supervisor.on_leave('w', agent.now_ms)
    assert agent.supervisor.take_report(agent.now_ms).is_alive
    agent.supervisor.on_hold_reply(hold, _not_listening(), agent.now_ms)
    assert not agent.supervisor.take_report(agent.now_ms).is_alive
    agent.order(starts=[START])
    assert agent.supervisor.due_calls(agent.now_ms) == []


def test_refused_connection_alone_does_not_end_the_lease():
    agent = Agent()
    (hold,) = agent.calls()
    agent.supervisor.on_hold_reply(hold, _not_listening(), agent.now_ms)
    agent.now_ms += 1_000
    assert agent.supervisor.take_report(agent.now_ms).is_alive


# Guards against work lost: the leader moves what runs on a draining worker.
def test_notice_of_leave_alone_does_not_drain_the_worker():
    agent = Agent()
    agent.supervisor.on_leave('w', agent.now_ms)
    assert not agent.supervisor.take_report(agent.now_ms).is_draining
    agent.order(starts=[START])
    assert len(agent.calls(worker_calls.StartCall)) == 1


def test_worker_that_does_not_drain_has_not_announced_its_exit():
    agent = Agent()
    (hold,) = agent.calls()
    agent.supervisor.on_leave('w', agent.now_ms)
    agent.supervisor.on_heartbeat(_info(sequence=2), agent.now_ms)
    agent.supervisor.on_hold_reply(hold, _not_listening(), agent.now_ms)
    assert agent.supervisor.take_report(agent.now_ms).is_alive


def test_falling_time_of_warm_up_causes_no_report():
    """Each heartbeat of a cold worker would send a report to the leader."""
    agent = Agent()
    supervisor = agent.supervisor
    agent.replace_worker(_info(boot=2, warmup_left_ms=5_000))
    first = supervisor.take_report(agent.now_ms)
    assert first.warmup_left_ms == 5_000
    supervisor.on_heartbeat(
        _info(boot=2, sequence=2, warmup_left_ms=4_700), agent.now_ms + 300
    )
    assert supervisor.take_report(agent.now_ms + 300) is None


def test_reported_time_of_warm_up_falls_without_heartbeats():
    """The leader would take a silent worker for cold for ever."""
    agent = Agent()
    agent.replace_worker(_info(boot=2, warmup_left_ms=1_500))
    left_ms = [
        agent.supervisor.take_report(agent.now_ms + after).warmup_left_ms
        for after in (0, 1_000, 2_000)
    ]
    assert left_ms == [1_500, 500, 0]


def _crashed_runs_after_replacement(*, is_planned):
    """Replace a worker that answers for 50 ms after the start of a run.

    :return: the crashed runs in the report on the next worker.
    """
    agent = Agent()
    agent.order(starts=[START])
    open_hold, start = agent.supervisor.due_calls(agent.now_ms)
    agent.now_ms += 40
    agent.supervisor.on_start_reply(
        start, worker_calls.CallReply(DONE), agent.now_ms
    )
    agent.hold(running=[1])
    agent.now_ms += 10
    lost = worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_hold_reply(open_hold, lost, agent.now_ms)
    if is_planned:
        agent.supervisor.on_heartbeat(
            _info(sequence=2, is_draining=True), agent.now_ms
        )
    agent.now_ms += 3_300
    agent.replace_worker(_info(boot=2))
    return agent.supervisor.take_report(agent.now_ms).crashed_runs


# Guards against a crash that reads like a planned exchange of the worker.
def test_crash_is_reported_with_the_runs_that_it_ended():
    (run,) = _crashed_runs_after_replacement(is_planned=False)
    assert (run.worker, run.boot) == ('w', 1)
    assert (run.task, run.run_number, run.age_ms) == (START.task, 1, 50)


# Guards against a planned exchange that counts as a crash.
def test_worker_that_has_drained_has_not_crashed():
    assert not _crashed_runs_after_replacement(is_planned=True)


# Guards against blame for a task that never began on the worker.
def test_refused_start_is_not_reported_as_lost_by_a_crash():
    agent = Agent()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    refused = worker_calls.CallReply(worker_calls.CallStatus.NO_ROOM)
    agent.supervisor.on_start_reply(start, refused, agent.now_ms)
    agent.replace_worker(_info(boot=2))
    assert not agent.supervisor.take_report(agent.now_ms).crashed_runs


# Guards against reports that grow with each crash.
def test_crash_is_no_longer_reported_after_a_while():
    agent = Agent()
    agent.order(starts=[START])
    agent.calls(worker_calls.StartCall)
    agent.replace_worker(_info(boot=2))
    assert agent.supervisor.take_report(agent.now_ms).crashed_runs
    agent.now_ms += crash_history.REPORTED_MS
    assert not agent.supervisor.take_report(agent.now_ms).crashed_runs


# Guards against blame for a task whose start was sent to a worker that had
# crashed already.
def test_start_that_did_not_reach_the_worker_is_not_lost_by_its_crash():
    agent = Agent()
    (hold,) = agent.calls()
    lost = worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_hold_reply(hold, lost, agent.now_ms)
    agent.now_ms += 500
    agent.order(starts=[START])
    assert agent.calls(worker_calls.StartCall)
    agent.replace_worker(_info(boot=2))
    assert not agent.supervisor.take_report(agent.now_ms).crashed_runs


def _shrink(agent, accelerators=4):
    agent.now_ms += 10
    agent.supervisor.on_heartbeat(
        _info(sequence=agent.now_ms, accelerators=accelerators), agent.now_ms
    )


# Guards against a start on a worker that shrank while its order was under way.
def test_start_ordered_before_the_leader_knows_of_the_shrinking_is_refused():
    agent = Agent()
    agent.outlive_calls_of_earlier_process()
    echo_ms = agent.now_ms
    _shrink(agent)
    agent.order(starts=[START], echo_ms=echo_ms)
    assert not agent.calls(worker_calls.StartCall)
    agent.order(starts=[START])
    assert agent.calls(worker_calls.StartCall)


# Guards against starts that are refused without need.
def test_start_is_sent_to_a_worker_that_has_grown():
    agent = Agent()
    echo_ms = agent.now_ms
    _shrink(agent, accelerators=16)
    agent.order(starts=[START], echo_ms=echo_ms)
    assert agent.calls(worker_calls.StartCall)


# Guards against a start that is repeated, or carried out late, on a worker
# that has shrunk since the first call.
def test_unanswered_start_is_stopped_once_the_worker_shrinks():
    agent = Agent()
    agent.order(starts=[START])
    (start,) = agent.calls(worker_calls.StartCall)
    unknown = worker_calls.CallReply(worker_calls.CallStatus.UNKNOWN)
    agent.supervisor.on_start_reply(start, unknown, agent.now_ms)
    _shrink(agent)
    agent.now_ms += 500
    agent.order()
    due = agent.supervisor.due_calls(agent.now_ms)
    assert not any(isinstance(c, worker_calls.StartCall) for c in due)
    assert any(isinstance(c, worker_calls.StopCall) for c in due)


# Guards against a crash that is taken for one of an old run, since the worker
# carried the start out seconds after it was sent.
def test_age_of_a_run_that_begins_late_counts_from_the_last_list_without_it():
    agent = Agent()
    agent.order(starts=[START])
    open_hold, start = agent.supervisor.due_calls(agent.now_ms)
    unknown = worker_calls.CallStatus.UNKNOWN
    agent.supervisor.on_start_reply(
        start, worker_calls.CallReply(unknown), agent.now_ms
    )
    agent.now_ms += 6_000
    (hold,) = agent.calls()
    agent.supervisor.on_hold_reply(
        hold, _hold_reply(agent.now_ms), agent.now_ms
    )
    agent.now_ms += 30
    agent.supervisor.on_hold_reply(
        open_hold, worker_calls.HoldReply(unknown), agent.now_ms
    )
    agent.replace_worker(_info(boot=2))
    (run,) = agent.supervisor.take_report(agent.now_ms).crashed_runs
    assert run.age_ms == 30


# Guards against two runs of one task: the leader took the runs whose ends a
# worker lists only in a later part for lost.
def test_report_tells_that_more_runs_have_ended_than_are_listed():
    agent = Agent()
    end = messages.EndedTask(1, START.task, 1, 'done', '')
    for is_partial in (True, False):
        (hold,) = agent.calls()
        reply = worker_calls.HoldReply(
            DONE, agent.now_ms, 1, (), (end,), is_partial=is_partial
        )
        agent.supervisor.on_hold_reply(hold, reply, agent.now_ms)
        report = agent.supervisor.take_report(agent.now_ms)
        assert report.is_partial is is_partial
        agent.now_ms += 300


# Guards against blame for a run that has ended: its end stood in a part of the
# list that the worker did not come to send before it crashed.
def test_age_of_a_run_that_a_partial_list_lacks_counts_from_its_start():
    agent = Agent()
    agent.order(starts=[START])
    open_hold, start = agent.supervisor.due_calls(agent.now_ms)
    done = worker_calls.CallReply(DONE)
    agent.supervisor.on_start_reply(start, done, agent.now_ms)
    agent.now_ms += 900
    (hold,) = agent.calls()
    reply = worker_calls.HoldReply(DONE, agent.now_ms, 1, is_partial=True)
    agent.supervisor.on_hold_reply(hold, reply, agent.now_ms)
    agent.replace_worker(_info(boot=2))
    (run,) = agent.supervisor.take_report(agent.now_ms).crashed_runs
    assert run.age_ms == 900


def _answer_as_successor(agent):
    """Answer the due hold calls as a later start of the same worker."""
    for hold in agent.calls():
        agent.supervisor.on_hold_reply(
            hold, _hold_reply(agent.now_ms, boot=2), agent.now_ms
        )


# Guards against runs of a restarted worker that are started where no report
# lists them, while its own heartbeats do not reach the agent.
def test_no_start_is_sent_to_a_successor_without_a_heartbeat():
    agent = Agent()
    _answer_as_successor(agent)
    agent.order(starts=[messages.StartRun('t', 1, '', '')])
    assert not agent.calls(worker_calls.StartCall)


# Guards against a crashed worker that counts as alive for as long as its
# successor answers the calls, so that its tasks start nowhere else.
def test_worker_is_reported_gone_while_only_its_successor_answers():
    agent = Agent()
    reports = []
    for _ in range(80):
        agent.now_ms += 100
        agent.order()
        _answer_as_successor(agent)
        reports.append(agent.supervisor.take_report(agent.now_ms))
    assert not [r for r in reports if r is not None][-1].is_alive
