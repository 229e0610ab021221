"""Entry and agent processes of whole-system fuzzing, by incarnation."""

import dataclasses
import ipaddress
import random

import mulberryloom_agent as agent
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import shapes
import mulberryloom_entry as entry

from . import backends

SERVICES = ('press',)
CAPACITY = shapes.Resources(
    slots=8, accelerators=8, processors=130, memory_mb=250_000
)
SECRET = 'a secret for fuzzing only'
CHECKPOINT_GRACE_MS = 10_000
BALANCER_NOTICE_MS = 500
_PADDING = b'\0'


@dataclasses.dataclass(slots=True)
class EntryRun:
    """One incarnation of an entry.

    :ivar me: identity of this incarnation.
    :ivar inbox: inputs for the next step; they accumulate while the process
        is frozen.
    :ivar stopping_since_ms: time of the last stop request; ``None`` before.
    """

    me: identity.PeerId
    core: entry.EntryCore
    inbox: list[entry.Input] = dataclasses.field(default_factory=list)
    is_frozen: bool = False
    stopping_since_ms: int | None = None

    @classmethod
    def start(
        cls, name: str, incarnation: int, others: list[str], seed: int
    ) -> 'EntryRun':
        """Start an entry with the addresses of the other entries."""
        settings = entry.EntrySettings(
            name=name,
            region='eire-west',
            data_centre='galway-a',
            listen='127.0.0.1:0',
            operators_listen='127.0.0.1:0',
            peers_listen=address_of(name),
            secret=SECRET,
            store=['127.0.0.1:1'],
            entries=[address_of(other) for other in others],
            balancer_notice_ms=BALANCER_NOTICE_MS,
        )
        source = random.Random(f'{seed}/{name}/{incarnation}')
        core = entry.EntryCore.from_settings(settings, incarnation, source)
        me = identity.PeerId(identity.Role.ENTRY, name, incarnation)
        return cls(me, core, inbox=[entry.WallTime(0)])

    def step(self, now_ms: int) -> list[entry.Effect]:
        """Process all queued inputs and one tick."""
        if self.is_frozen:
            return []
        inputs = [*self.inbox, effects.Tick()]
        self.inbox.clear()
        return [
            effect
            for item in inputs
            for effect in self.core.handle(item, now_ms)
        ]


@dataclasses.dataclass(slots=True)
class AgentRun:
    """One incarnation of an agent on a worker VM, with its backend server.

    :ivar me: identity of this incarnation.
    :ivar inbox: inputs for the next step; they accumulate while the process
        is frozen.
    :ivar stopping_since_ms: time of the last stop request; ``None`` before.
    :ivar entry_addresses: entries to which it keeps sessions.
    """

    me: identity.PeerId
    core: agent.AgentCore
    backend: backends.Backend
    inbox: list[agent.Input] = dataclasses.field(default_factory=list)
    is_frozen: bool = False
    stopping_since_ms: int | None = None
    entry_addresses: set[str] = dataclasses.field(default_factory=set)

    @classmethod
    def start(
        cls,
        name: str,
        rack: str,
        incarnation: int,
        entries: list[str],
        seed: int,
    ) -> 'AgentRun':
        """Start an agent with the addresses of its first entries."""
        addresses = tuple(address_of(entry_name) for entry_name in entries)
        settings = agent.AgentSettings(
            worker=name,
            data_centre=f'centre-of-{rack}',
            rack=rack,
            listen=identity.Address.from_text(address_of(name)),
            backend_listen=identity.Address('127.0.0.1', 0),
            entries=addresses,
            secret=SECRET.encode(),
            platform=identity.Address('127.0.0.1', 1),
            grace_ms=CHECKPOINT_GRACE_MS,
        )
        source = random.Random(f'{seed}/{name}/{incarnation}')
        core = agent.AgentCore.from_settings(settings, incarnation, source)
        announcement = agent.BackendAnnounced(
            address_of(f'{name}-backend'), SERVICES, CAPACITY
        )
        me = identity.PeerId(identity.Role.AGENT, name, incarnation)
        backend = backends.Backend(name, incarnation)
        run = cls(me, core, backend, inbox=[announcement])
        run.entry_addresses.update(addresses)
        return run

    def step(self, now_ms: int) -> list[agent.Output]:
        """Process all queued inputs, a backend heartbeat and one tick."""
        self.inbox.extend(self.backend.advance(now_ms))
        if self.is_frozen:
            return []
        inputs = list(self.inbox)
        self.inbox.clear()
        if not self.backend.is_silent and self.backend.has_left_ms is None:
            inputs.append(agent.BackendHeartbeat())
        inputs.append(effects.Tick())
        return [
            output
            for item in inputs
            for output in self.core.handle(item, now_ms)
        ]


def address_of(name: str) -> str:
    """Return the simulated address of a process.

    Its host is an IPv6 address that holds the name, of 16 bytes at most.
    """
    return f'{ipaddress.IPv6Address(name.encode().ljust(16, _PADDING))}:1'


def name_at(address: str) -> str:
    """Return the name of the process at a simulated address."""
    host = ipaddress.IPv6Address(address.rpartition(':')[0])
    return host.packed.rstrip(_PADDING).decode()
