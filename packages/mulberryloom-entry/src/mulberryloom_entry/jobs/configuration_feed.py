"""Queues for jobs, from the configuration that operators' tickets make.

Each idempotent method of a service is a queue with the name
``service/method``. Other methods have none: a job's tasks may run again
after a worker was lost.
"""

import asyncio
import typing as t

from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_core.version import configuration as configurations

#: Runs of one task that may fail before the job has failed.
MAX_ATTEMPTS = 3
#: Pause between looks at the version in force in this process.
LOOK_MS = 100
_MS_PER_S = 1_000


class ConfigurationFeed:
    """Takes the catalogue from the configuration that the process follows.

    :param read: returns the version in force in this process.
    :param on_change: told of each newer version.
    """

    def __init__(
        self,
        read: t.Callable[[], configurations.Configuration],
        _job_store: store.Store,
        on_change: t.Callable[[catalogues.Catalogue], None],
    ) -> None:
        self._read = read
        self._on_change = on_change
        self.catalogue: catalogues.Catalogue | None = None

    @property
    def version(self) -> int:
        """Version in force; ``-1`` before the first."""
        return -1 if self.catalogue is None else self.catalogue.version

    async def run(self) -> None:
        """Follow the process for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_MS / _MS_PER_S)

    def look(self) -> None:
        """Take over the version in force, if it is newer."""
        found = self._read()
        if found.version > max(0, self.version):
            self.catalogue = from_configuration(found)
            self._on_change(self.catalogue)

    def pack(self) -> bytes:
        """Return nothing: each process follows its configuration itself."""
        return b''

    def offer_packed(self, packed: bytes, source: str) -> None:
        """Ignore what another entry has; see :meth:`pack`."""


def from_configuration(
    configuration: configurations.Configuration,
) -> catalogues.Catalogue:
    """Return the queues, services and accounts of a configuration."""
    return catalogues.Catalogue.from_parts(
        configuration.version,
        [
            _queue(service, method)
            for service in configuration.services_by_name.values()
            for method in service.methods_by_name.values()
            if method.is_idempotent
        ],
        [catalogues.Service(name) for name in configuration.services_by_name],
        [_account(a) for a in configuration.accounts_by_name.values()],
    )


def _queue(
    service: configurations.Service, method: configurations.Method
) -> catalogues.Queue:
    name = f'{service.name}/{method.name}'
    return catalogues.Queue(
        name,
        host='',
        prefix=f'/v1/jobs/{name}',
        service=service.name,
        priority=int(method.request_class),
        max_attempts=MAX_ATTEMPTS,
        slack_ms=method.deadline_ms,
    )


def _account(account: configurations.ClientAccount) -> catalogues.Account:
    return catalogues.Account(
        account.name,
        frozenset({account.token_sha256}),
        sum(
            shape.demand.accelerators * shape.copies
            for shape in account.guarantees
        ),
    )
