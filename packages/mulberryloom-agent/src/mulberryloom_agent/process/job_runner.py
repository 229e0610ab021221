"""Process of an agent whose worker runs tasks of jobs."""

import asyncio

from mulberryloom_core.connection import http_server
from mulberryloom_core import identity
import structlog

from ..connection import job_loopback
from ..jobs import agent as job_agent
from ..jobs import http_worker_client
from . import settings as settings_module

_log = structlog.get_logger(__name__)


class StaticEntryDirectory:
    """Directory of the entries in the settings.

    :param addresses: peer addresses of the entries.
    """

    __slots__ = ('_addresses',)

    def __init__(self, addresses: tuple[identity.Address, ...]) -> None:
        self._addresses = addresses

    async def find_entries(self) -> list[identity.Address]:
        """Return the peer addresses of entries."""
        return list(self._addresses)


class JobAgentProcess:
    """Process of one agent; construct it with :meth:`from_settings`."""

    def __init__(self, settings: settings_module.AgentSettings) -> None:
        assert settings.jobs is not None
        self._settings = settings
        self._stop_requested = asyncio.Event()
        entries = settings.jobs.entries
        self.agent = job_agent.JobAgent.from_parts(
            settings.worker,
            entries,
            settings.secret,
            http_worker_client.HttpWorkerClient(settings.jobs.worker),
            StaticEntryDirectory(entries),
        )

    @classmethod
    def from_settings(
        cls, settings: settings_module.AgentSettings
    ) -> 'JobAgentProcess':
        """Build a process that has not started."""
        return cls(settings)

    def request_stop(self) -> None:
        """Request a stop; the worker's runs continue."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a requested stop is complete."""
        server = http_server.HttpServer.from_handler(
            job_loopback.JobLoopback(self.agent).respond
        )
        bound = await server.listen(self._settings.backend_listen)
        _log.info('listening on loopback', address=str(bound))
        await self.agent.start()
        await self._stop_requested.wait()
        server.stop_accepting()
        await self.agent.close()
