"""Checks the pages under docs/ against the code and runs their commands."""

import asyncio
import contextlib
import io
import json
import pathlib
import re
import shlex
import shutil

import pytest
import structlog

from mulberryloom_agent import __main__ as agent_command
from mulberryloom_core import exceptions
from mulberryloom_core.process import logs
from mulberryloom_entry import __main__ as entry_command
from mulberryloom_standins.demo import embedded
from mulberryloom_standins import deployments
from mulberryloom_standins import fleet
from mulberryloom_standins import ports
from mulberryloom_standins import reference

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / 'docs'
EXAMPLE = pathlib.Path('examples', 'akwaboa')
PAGES = sorted([ROOT / 'README.md', *DOCS.rglob('*.md')])
#: The page on drains comes last: its drain stops the entry that the commands
#: of the other pages call.
COMMAND_PAGES = [
    DOCS / 'operators.md',
    *sorted(
        page
        for page in (DOCS / 'operators').glob('*.md')
        if page.name != 'drains.md'
    ),
    DOCS / 'callers.md',
    DOCS / 'OPERATIONS.md',
    DOCS / 'operators' / 'drains.md',
]
COMMAND_TIMEOUT_S = 10

_BLOCK = re.compile(r'^```console\n(.*?)^```$', re.DOTALL | re.MULTILINE)
_EXPORT = re.compile(r'^    export (\w+)=(\S+)$', re.MULTILINE)
_LINK = re.compile(r'\]\(([^)#\s]*)(?:#([^)\s]+))?\)')
_HEADING = re.compile(r'^#+ (.+)$', re.MULTILINE)
_MAIN_BY_PROGRAM = {
    'mulberryloom': entry_command.main,
    'mulberryloom-agent': agent_command.main,
}


def _commands(page: pathlib.Path) -> list[str]:
    blocks = _BLOCK.findall(page.read_text())
    return [line for block in blocks for line in block.splitlines()]


def _anchors(page: pathlib.Path) -> set[str]:
    headings = _HEADING.findall(page.read_text())
    return {
        re.sub(r'[^\w\- ]', '', heading.lower()).replace(' ', '-')
        for heading in headings
    }


def test_settings_page_is_generated():
    committed = (DOCS / 'settings.md').read_text()
    assert committed == reference.settings_page()


def test_every_setting_has_a_description():
    page = reference.settings_page()
    rows = [line for line in page.splitlines() if line.startswith('| `')]
    assert rows
    assert [row for row in rows if row.endswith('|  |')] == []


def test_every_error_kind_is_in_callers_page():
    text = (DOCS / 'callers.md').read_text()
    assert text.endswith(reference.error_table())
    for kind in exceptions.ErrorKind:
        assert text.count(f'| `{kind.value}` |') == 1


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_between_pages_resolve(page: pathlib.Path):
    broken = []
    for path, anchor in _LINK.findall(page.read_text()):
        target = page.parent / path if path else page
        if not target.is_file():
            broken.append(path)
        elif anchor and anchor not in _anchors(target):
            broken.append(f'{path}#{anchor}')
    assert broken == []


def test_index_links_every_operators_page():
    linked = {path for path, _ in _LINK.findall(COMMAND_PAGES[0].read_text())}
    pages = {f'operators/{p.name}' for p in (DOCS / 'operators').iterdir()}
    assert pages <= linked


class _CommandRunner:
    """Runs documented commands against a running fleet.

    :param actual_by_documented: addresses of the fleet by the addresses
        that stand in the pages and the example settings.
    """

    def __init__(self, actual_by_documented: dict[str, str]) -> None:
        self._actual_by_documented = actual_by_documented

    async def run(self, command: str) -> str | None:
        """Run one command; return its error, or ``None`` on success."""
        command_line = command
        for documented, actual in self._actual_by_documented.items():
            command_line = command_line.replace(documented, actual)
        program, *arguments = shlex.split(command_line)
        if program == 'curl':
            return await _run_curl(arguments)
        main = _MAIN_BY_PROGRAM[program]
        return await asyncio.to_thread(_run_main, main, arguments)


async def _run_curl(arguments: list[str]) -> str | None:
    process = await asyncio.create_subprocess_exec(
        'curl',
        '--show-error',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    stdout, stderr = await asyncio.wait_for(
        process.communicate(), COMMAND_TIMEOUT_S
    )
    if process.returncode:
        return f'exited with {process.returncode}: {stderr.decode()}'
    return None if stdout else 'exited with 0 but printed nothing'


def _run_main(main, arguments: list[str]) -> str | None:
    """Run a command line in this process; return its error, if any."""
    stdout = io.StringIO()
    stderr = io.StringIO()
    with (
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
        pytest.raises(SystemExit) as exit_info,
    ):
        main(arguments)
    if exit_info.value.code:
        return f'exited with {exit_info.value.code}: {stderr.getvalue()}'
    if '--json' in arguments:
        json.loads(stdout.getvalue())
    return None if stdout.getvalue() else 'exited with 0 but printed nothing'


async def _run_all_commands() -> list[str]:
    """Run all documented commands against one fleet; return their errors."""
    deployment = deployments.Deployment.from_directory(EXAMPLE)
    plan = fleet.FleetPlan.from_deployment(
        deployment, ports.PortPool(), job_worker_count=1
    )
    entry, agent = plan.entries[0], plan.agents[0]
    (EXAMPLE / 'agent.json').write_text(json.dumps(agent.settings))
    runner = _CommandRunner(
        {
            deployment.entry['listen']: str(entry.callers_address),
            deployment.entry['operators_listen']: str(entry.operators_address),
            deployment.agent['backend_listen']: str(agent.backend_listen),
        }
    )
    running_fleet = await embedded.EmbeddedFleet.start(plan)
    errors_found = []
    for page in COMMAND_PAGES:
        for command in _commands(page):
            error = await runner.run(command)
            if error is not None:
                errors_found.append(f'{page.name}: {command}: {error}')
    await running_fleet.stop()
    return errors_found


@pytest.fixture
def separate_log():
    """Keep the fleet's log out of the output of the commands."""
    logs.configure('info', io.StringIO())
    yield
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


@pytest.mark.usefixtures('separate_log')
def test_documented_commands_run_as_written(tmp_path, monkeypatch):
    shutil.copytree(ROOT / 'examples', tmp_path / 'examples')
    monkeypatch.chdir(tmp_path)
    for name, value in _EXPORT.findall(COMMAND_PAGES[0].read_text()):
        monkeypatch.setenv(name, value)
    assert all(_commands(page) for page in COMMAND_PAGES)
    assert asyncio.run(_run_all_commands()) == []
    assert (tmp_path / 'burn.html').read_text().startswith('<!')
