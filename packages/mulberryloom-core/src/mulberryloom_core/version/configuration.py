"""The configuration that operators maintain with tickets.

Each object holds the number of the last ticket that changed it.
"""

import dataclasses
import enum

from ..shapes import Demand
from ..shapes import GuaranteedShape
from ..shapes import RequestClass
from ..shapes import Resources


class AccountState(enum.Enum):
    """Whether a client account may submit requests."""

    ACTIVE = 'active'
    SUSPENDED = 'suspended'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its guarantees and limits.

    :param ticket: number of the last ticket that changed the account.
    :param token_sha256: hexadecimal digest of the account's bearer token.
    :param guarantees: capacity that the account can reclaim at any time.
    :param weight: relative share of the capacity beyond all guarantees.
    :param queue_limit: maximum number of queued requests.
    :param retry_percent: retries allowed per hundred requests.
    """

    name: str
    ticket: int
    token_sha256: str
    guarantees: list[GuaranteedShape]
    weight: int = 1
    queue_limit: int = 1_000
    retry_percent: int = 10
    state: AccountState = AccountState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Method:
    """A method of a service, with the defaults of its requests.

    :param is_idempotent: whether a request may run more than once.
    :param is_checkpointable: whether a request can be stopped and resumed.
    :param declared_run_ms: expected run time of a request.
    :param deadline_ms: time from acceptance to the deadline of a request.
    """

    name: str
    request_class: RequestClass
    demand: Demand
    is_idempotent: bool = True
    is_checkpointable: bool = False
    declared_run_ms: int = 1_000
    deadline_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective.

    :param request_class: priority class of the requests that it covers.
    :param start_within_ms: limit on the time until the start of a good
        request; ``0`` for none.
    :param finish_within_ms: limit on the time until the end of a good
        request; ``0`` for none.
    :param target_percent: share of good requests, such as ``99.9``.
    """

    name: str
    request_class: RequestClass
    start_within_ms: int
    finish_within_ms: int
    target_percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that backend servers offer.

    :param ticket: number of the last ticket that changed the service.
    :param accounts: names of the client accounts that may call it.
    """

    name: str
    ticket: int
    accounts: list[str]
    methods_by_name: dict[str, Method]
    objectives_by_name: dict[str, Objective]


@dataclasses.dataclass(frozen=True, slots=True)
class Rack:
    """A configured rack of equal workers.

    :param ticket: number of the last ticket that changed the rack.
    :param workers: planned number of workers.
    :param worker: resources of each worker.
    """

    name: str
    ticket: int
    data_centre: str
    workers: int
    worker: Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator who may apply tickets.

    :param ticket: number of the last ticket that changed the operator.
    :param token_sha256: hexadecimal digest of the operator's bearer token.
    """

    name: str
    ticket: int
    token_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the whole configuration.

    :param version: increases by one with each accepted ticket, and with
        each merge of diverged documents.
    :param ticket: number of the ticket that led to this version.
    """

    version: int
    ticket: int
    accounts_by_name: dict[str, ClientAccount]
    services_by_name: dict[str, Service]
    racks_by_name: dict[str, Rack]
    operators_by_name: dict[str, Operator]

    @classmethod
    def empty(cls) -> 'Configuration':
        """Return version 0, which precedes the first ticket."""
        return cls(0, 0, {}, {}, {}, {})
