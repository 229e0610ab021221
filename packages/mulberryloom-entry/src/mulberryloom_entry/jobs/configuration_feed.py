"""Job queues derived from the configuration that operators' tickets define.

Each idempotent method of a service is a queue with the name
``service/method``. Other methods have no queue, since the tasks of a job may
run again after the loss of a worker.
"""

import asyncio
import typing as t

from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_core.version import configuration as configurations

#: Number of failed runs of one task after which the job fails.
MAX_ATTEMPTS = 3
#: Polling interval for newer versions in this process.
POLL_INTERVAL_MS = 100
_MS_PER_S = 1_000


class ConfigurationFeed:
    """Feed that derives the catalogue from the process's configuration.

    :param read_configuration: returns the configuration in force in this
        process.
    :param on_change: called with each newer version.
    """

    def __init__(
        self,
        read_configuration: t.Callable[[], configurations.Configuration],
        _job_store: store.Store,
        on_change: t.Callable[[catalogues.Catalogue], None],
    ) -> None:
        self._read_configuration = read_configuration
        self._on_change = on_change
        self.catalogue: catalogues.Catalogue | None = None

    @property
    def version(self) -> int:
        """Version in force; ``-1`` before the first."""
        return -1 if self.catalogue is None else self.catalogue.version

    async def run(self) -> None:
        """Poll for newer versions until cancelled."""
        while True:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL_MS / _MS_PER_S)

    def poll(self) -> None:
        """Adopt the configuration of the process if it is newer."""
        configuration = self._read_configuration()
        if configuration.version > max(0, self.version):
            self.catalogue = from_configuration(configuration)
            self._on_change(self.catalogue)

    def compress_document(self) -> bytes:
        """Return nothing: each process loads its configuration itself."""
        return b''

    def offer_compressed(self, compressed: bytes, source: str) -> None:
        """Ignore the offer; see :meth:`compress_document`."""


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
        [
            _account(account)
            for account in configuration.accounts_by_name.values()
        ],
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
