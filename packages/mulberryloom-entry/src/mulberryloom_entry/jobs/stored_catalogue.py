"""Queues for jobs, from the configuration that operators' tickets make.

Each idempotent method of a service is a queue with the name
``service/method``. Other methods have none: a job's tasks may run again
after a worker was lost.
"""

from mulberryloom_core import exceptions
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_core.version import configuration as configurations
from mulberryloom_core.version import document as documents
from result import Result

#: Runs of one task that may fail before the job has failed.
MAX_ATTEMPTS = 3


class StoredCatalogue:
    """Where the product keeps its own configuration."""

    __slots__ = ()

    @property
    def key(self) -> str:
        """Key in the store."""
        return documents.KEY

    def decode(
        self, document: bytes
    ) -> Result[catalogues.Catalogue, exceptions.Error]:
        """Read one version."""
        return documents.decode(document).map(
            lambda found: from_configuration(found.configuration)
        )


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
