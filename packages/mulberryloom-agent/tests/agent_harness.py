"""Test harness: agent cores with a manual clock and helpers for inputs."""

import random

from mulberryloom_core import clock
from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import document
from result import Ok

from mulberryloom_agent import effects
from mulberryloom_agent.process import core
from mulberryloom_agent.process import settings

ENTRY = identity.PeerId(identity.Role.ENTRY, 'e1', 1)
EPOCH = identity.Epoch(5, 0, 'e1')
CAPACITY = shapes.Resources(8, 8, 130, 250_000)
TICK_MS = 100
RUNNING = messages.TaskPhase.RUNNING


def agent_settings(worker='w1', port=9_000, **changes):
    """Return settings of an agent."""
    values = {
        'worker': worker,
        'data_centre': 'galway-a',
        'rack': 'r1',
        'listen': f'127.0.0.1:{port}',
        'backend_listen': '127.0.0.1:0',
        'entries': ['127.0.0.1:7101'],
        'secret': '0123456789abcdef',
    }
    return settings.AgentSettings.from_document(values | changes)


def work(request_id='q1', accelerators=1, **changes):
    """Return work of the account galway, for the service typesetting."""
    values = {
        'request_id': request_id,
        'account': 'galway',
        'service': 'typesetting',
        'method': 'edition',
        'request_class': shapes.RequestClass.BATCH,
        'demand': shapes.Demand(accelerators=accelerators),
        'body': b'pages',
    }
    return messages.Work(**(values | changes))


class Agent:
    """One core, its clock and all outputs so far."""

    def __init__(self, incarnation=7, is_announced=True, seed=1, **changes):
        self.clock = clock.ManualClock(1_000)
        self.incarnation = incarnation
        self.outputs = []
        self.core = core.AgentCore.from_settings(
            agent_settings(**changes), incarnation, random.Random(seed)
        )
        if is_announced:
            self.announce()

    def handle(self, event):
        """Pass an input to the core and return its outputs."""
        outputs = self.core.handle(event, self.clock.now_ms())
        self.outputs += outputs
        return outputs

    def configure(self, configuration):
        """Receive a configuration from an entry."""
        config_document = document.Document(configuration, [], [])
        return self.receive(
            messages.ConfigurationDocument(
                configuration.version, document.encode(config_document)
            )
        )

    def receive(self, message, peer=ENTRY):
        """Receive a message from a peer."""
        return self.handle(core_effects.Received(peer, message))

    def connect(self, peer=ENTRY):
        """Open a session from a peer."""
        return self.handle(core_effects.PeerConnected(peer))

    def announce(self, capacity=CAPACITY):
        """Announce the backend server."""
        return self.handle(
            effects.BackendAnnounced('b:1', ('typesetting',), capacity)
        )

    def start(self, work, attempt=1, peer=ENTRY, **changes):
        """Receive the request to start a single task."""
        values = {'incarnation': self.incarnation, 'epoch': EPOCH}
        message = messages.StartTask(work, attempt, **(values | changes))
        return self.receive(message, peer)

    def answer(self, request_id='q1', attempt=1, result=None):
        """Complete the call to the backend server."""
        if result is None:
            result = Ok(effects.BackendAnswer(200, 'text/plain', b'done'))
        return self.handle(
            effects.BackendAnswered(request_id, attempt, result)
        )

    def finish_stop(self, request_id='q1', attempt=1, is_confirmed=True):
        """Complete a stop."""
        return self.handle(
            effects.TaskStopped(request_id, attempt, is_confirmed)
        )

    def advance(self, duration_ms, is_backend_alive=True):
        """Advance the clock in ticks and return all outputs."""
        outputs = []
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            if is_backend_alive:
                outputs += self.handle(effects.BackendHeartbeat())
            outputs += self.handle(core_effects.Tick())
        return outputs


def of_type(outputs, kind):
    """Return the outputs of one type, or the messages of it in them."""
    found = []
    for output in outputs:
        if isinstance(output, core_effects.Send):
            output = output.message
        if isinstance(output, kind):
            found.append(output)
    return found


def only_of_type(outputs, kind):
    """Return the only output or message of a type."""
    (found,) = of_type(outputs, kind)
    return found


def error_of(outputs):
    """Return the error of the only ``TaskEnded``."""
    return only_of_type(outputs, messages.TaskEnded).outcome.error


class Fleet:
    """Agents that are connected to each other and to one entry.

    :param count: number of agents; ``w1`` coordinates gangs.
    """

    def __init__(self, count=3, **changes):
        self.agents_by_name = {}
        self.disconnected_names = set()
        self.silent_backend_names = set()
        self.sent_to_entry = []
        for worker_number in range(1, count + 1):
            name = f'w{worker_number}'
            agent = Agent(worker=name, port=9_000 + worker_number, **changes)
            self.agents_by_name[name] = agent
            self.execute(agent, agent.connect())

    def members(self, accelerators):
        """Return gang members.

        :param accelerators: number for each member.
        """
        return [
            messages.GangMember(
                name,
                agent.incarnation,
                f'127.0.0.1:{9_000 + index}',
                accelerator_count,
            )
            for index, (accelerator_count, (name, agent)) in enumerate(
                zip(accelerators, self.agents_by_name.items()), 1
            )
        ]

    def prepare(self, work, accelerators=(8, 8, 8), order=None, attempt=1):
        """Send a gang's ``PrepareGang`` to the members.

        :param order: indexes of the members that get it; all by default.
        """
        members = self.members(accelerators)
        for index in order or range(len(members)):
            message = messages.PrepareGang(
                work, attempt, members, index, 5_000, EPOCH
            )
            self.send_to(members[index].worker, message)

    def send_to(self, name, message, peer=ENTRY):
        """Deliver a message to an agent."""
        agent = self.agents_by_name[name]
        return self.execute(agent, agent.receive(message, peer))

    def handle(self, name, event):
        """Pass an input to an agent."""
        agent = self.agents_by_name[name]
        return self.execute(agent, agent.handle(event))

    def answer(self, name, **values):
        """Complete the call of an agent's backend server."""
        agent = self.agents_by_name[name]
        return self.execute(agent, agent.answer(**values))

    def execute(self, agent, outputs):
        """Deliver the sends; confirm the stops and the checkpoints."""
        sender = agent.core.peer_id
        for output in outputs:
            if isinstance(output, effects.StopTask):
                event = effects.TaskStopped(
                    output.request_id, output.attempt, True
                )
                self.handle(sender.name, event)
            elif isinstance(output, effects.Checkpoint):
                event = effects.CheckpointDone(
                    output.request_id, output.attempt, True
                )
                self.handle(sender.name, event)
            elif isinstance(output, core_effects.Send):
                self._send(sender, output)
        return outputs

    def advance(self, duration_ms):
        """Advance the clock of all agents in ticks.

        Backends in ``silent_backend_names`` send no heartbeats.
        """
        for _ in range(duration_ms // TICK_MS):
            for agent in self.agents_by_name.values():
                agent.clock.advance(TICK_MS)
                if agent.core.peer_id.name not in self.silent_backend_names:
                    agent.handle(effects.BackendHeartbeat())
                self.execute(agent, agent.handle(core_effects.Tick()))

    def backend_callers(self):
        """Return the names of the agents that called their backend server."""
        return [
            name
            for name, agent in self.agents_by_name.items()
            for _ in of_type(agent.outputs, effects.CallBackend)
        ]

    def task_ends(self):
        """Return the ``TaskEnded`` messages sent to the entry."""
        return of_type(self.sent_to_entry, messages.TaskEnded)

    def is_idle(self):
        """Tell whether no worker has reserved resources."""
        return all(
            agent.core.worker.ledger.used == shapes.Resources()
            for agent in self.agents_by_name.values()
        )

    def _send(self, sender, output):
        if output.role == identity.Role.ENTRY:
            self.sent_to_entry.append(output)
            return
        if {sender.name, output.name} & self.disconnected_names:
            return
        self.send_to(output.name, output.message, sender)
