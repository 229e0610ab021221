"""Queues, services and client accounts of one configuration version.

A catalogue never changes; a new version is a new catalogue.
"""

import dataclasses

DEFAULT_MAX_ATTEMPTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where callers submit jobs of one kind.

    :param host: host name that callers use, in lower case.
    :param prefix: start of the path.
    :param is_public: whether callers need no key.
    :param needs_advice: whether only an adviser knows which workers may
        run a step.
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
    needs_advice: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of workers that run the same software.

    :param guards_room: whether its workers refuse what does not fit.
    """

    name: str
    guards_room: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param keys: keys that its callers present.
    :param guaranteed_accelerators: accelerators that belong to its jobs
        of priority 0 at all times.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One configuration version, ready for use."""

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
            {key: a.name for a in accounts for key in a.keys},
            {
                host: tuple(sorted(found, key=_longest_prefix_first))
                for host, found in queues_by_host.items()
            },
            max_body_bytes,
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def _longest_prefix_first(queue: Queue) -> int:
    return -len(queue.prefix)
