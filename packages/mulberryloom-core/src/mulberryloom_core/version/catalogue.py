"""Queues, services and client accounts of one configuration version.

A catalogue is immutable; each version of the configuration has its own.
"""

import dataclasses

DEFAULT_MAX_ATTEMPTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """HTTP endpoint to which callers submit jobs of one kind.

    :param host: lower-case host name of the requests.
    :param prefix: path prefix of the requests.
    :param service: name of the service whose workers run the jobs.
    :param priority: ``0`` is the most urgent.
    :param max_attempts: failed runs of a task after which its job fails.
    :param stretch: target duration of a job, as a multiple of the duration
        of its longest chain of dependent steps.
    :param slack_ms: time added to the target duration.
    :param is_public: whether callers need no key.
    :param needs_recommendation: whether the workers that may run a step are
        chosen by an external adviser.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    stretch: float = 1.0
    slack_ms: int = 0
    is_public: bool = False
    needs_recommendation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of workers that run the same software.

    :param enforces_capacity: whether its workers refuse tasks that exceed
        their free resources.
    """

    name: str
    enforces_capacity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param keys: keys with which its callers authenticate.
    :param guaranteed_accelerators: number of accelerators reserved for its
        jobs of priority 0.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One configuration version with its indexes.

    :param max_body_bytes: limit on a request body; ``0`` if not given.
    """

    version: int
    queue_by_name: dict[str, Queue]
    service_by_name: dict[str, Service]
    account_by_name: dict[str, Account]
    account_name_by_key: dict[str, str]
    queues_by_host: dict[str, tuple[Queue, ...]]
    max_body_bytes: int = 0

    @classmethod
    def from_parts(
        cls,
        version: int,
        queues: list[Queue],
        services: list[Service],
        accounts: list[Account],
        max_body_bytes: int = 0,
    ) -> 'Catalogue':
        """Build a catalogue with its indexes."""
        queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            queues_by_host.setdefault(queue.host, []).append(queue)
        return cls(
            version,
            {queue.name: queue for queue in queues},
            {service.name: service for service in services},
            {account.name: account for account in accounts},
            {
                key: account.name
                for account in accounts
                for key in account.keys
            },
            {
                host: tuple(sorted(found, key=_longest_prefix_first))
                for host, found in queues_by_host.items()
            },
            max_body_bytes,
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching prefix."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def _longest_prefix_first(queue: Queue) -> int:
    return -len(queue.prefix)
