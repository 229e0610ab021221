"""Command line of the agent."""

import asyncio
import json
import pathlib
import signal
import sys
import typing as t

import defopt
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core.process import logs
from mulberryloom_core.process import settings as checks
from result import Err
from result import Ok

from .process import job_runner
from .process import runner
from .process import settings as settings_module

STATUS_TIMEOUT_MS = 2_000
EXIT_INVALID = 2


def serve(*, settings: pathlib.Path) -> int:
    """Run the agent until it is told to stop.

    :param settings: settings file, JSON
    """
    checked = _read(settings)
    if checked is None:
        return EXIT_INVALID
    writer = logs.start(checked.log_options, worker=checked.worker)
    asyncio.run(_serve(checked))
    writer.drain()
    return 0


def check(*, settings: pathlib.Path) -> int:
    """Check a settings file and print every mistake.

    :param settings: settings file, JSON
    """
    if _read(settings) is None:
        return EXIT_INVALID
    print('settings are valid')
    return 0


def status(*, settings: pathlib.Path) -> int:
    """Print the status of a running agent.

    :param settings: settings file of that agent, JSON
    """
    checked = _read(settings)
    if checked is None:
        return EXIT_INVALID
    return asyncio.run(_print_status(checked))


class _Process(t.Protocol):
    """An agent process of either kind."""

    async def run(self) -> None:
        """Run until a requested stop is complete."""

    def request_stop(self) -> None:
        """Request a graceful stop."""


async def _serve(settings: settings_module.AgentSettings) -> None:
    process: _Process
    if settings.jobs is not None:
        process = job_runner.JobAgentProcess.from_settings(settings)
    else:
        process = runner.AgentProcess.from_settings(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.request_stop)
    await process.run()


async def _print_status(settings: settings_module.AgentSettings) -> int:
    client = http_client.HttpClient.from_limits()
    request = http_types.HttpRequest('GET', '/v1/status')
    result = await client.call(
        settings.backend_listen, request, STATUS_TIMEOUT_MS
    )
    await client.close()
    match result:
        case Ok(response):
            print(json.dumps(json.loads(response.body), indent=2))
            return 0
        case Err(error):
            print(error.detail, file=sys.stderr)
            return 1


def _read(
    path: pathlib.Path,
) -> settings_module.AgentSettings | None:
    match settings_module.read(path):
        case Ok(settings):
            return settings
        case Err(problems):
            _print_problems(problems)
            return None


def _print_problems(problems: t.Iterable[checks.Problem]) -> None:
    for problem in problems:
        print(problem, file=sys.stderr)


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its status."""
    commands = {
        'serve': serve,
        'settings': {'check': check},
        'status': status,
    }
    sys.exit(defopt.run(commands, argv=arguments))


if __name__ == '__main__':
    main()
