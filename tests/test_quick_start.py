"""Runs the commands of the README's section "Processes" on free ports."""

import json
import pathlib
import re
import shlex
import shutil
import signal
import subprocess
import time

from mulberryloom_standins import ports
from mulberryloom_standins import processes

ROOT = pathlib.Path(__file__).parent.parent
STORE_PORT = '2379'
STORE_MODULE = 'mulberryloom_standins.store'
START_TIMEOUT_S = 15
RETRY_INTERVAL_S = 0.2

_PROCESSES_SECTION = re.compile(
    r'^## Processes$(.*?)^## ', re.DOTALL | re.MULTILINE
)
_COMMAND = re.compile(r'^    (\S.*)$', re.MULTILINE)
_PORT = re.compile(r'127\.0\.0\.1:(\d+)|--port (\d+)')
_MODULE_BY_PROGRAM = {
    'mulberryloom': 'mulberryloom_entry',
    'mulberryloom-agent': 'mulberryloom_agent',
}


class _PortSubstitution:
    """Substitutes free ports for the documented ones, each consistently."""

    def __init__(self) -> None:
        self._pool = ports.PortPool()
        self._free_by_documented: dict[str, str] = {}

    def free_port(self, documented: str) -> str:
        """Return the free port that replaces a documented one."""
        if documented not in self._free_by_documented:
            self._free_by_documented[documented] = str(self._pool.take().port)
        return self._free_by_documented[documented]

    def replace(self, text: str) -> str:
        """Return a text with every documented port replaced."""

        def substitute(match: re.Match[str]) -> str:
            documented = match.group(1) or match.group(2)
            return match.group().replace(
                documented, self.free_port(documented)
            )

        return _PORT.sub(substitute, text)


def _commands() -> list[str]:
    section = _PROCESSES_SECTION.search((ROOT / 'README.md').read_text())
    assert section is not None
    return _COMMAND.findall(section.group(1).replace('\\\n', ' '))


def _start(
    command: str,
    number: int,
    substitution: _PortSubstitution,
    directory: pathlib.Path,
) -> processes.ChildProcess:
    program, *arguments = shlex.split(substitution.replace(command))
    if program == 'python':
        arguments = arguments[1:]
    else:
        arguments = [_MODULE_BY_PROGRAM[program], *arguments]
    if arguments == [STORE_MODULE]:
        arguments += ['--port', substitution.free_port(STORE_PORT)]
    name = f'{number}-{arguments[0]}'
    return processes.ChildProcess.start(name, arguments, directory)


def _call_until(command: str, key: str) -> None:
    """Repeat a call until the JSON object in its answer has a key.

    The processes may still be starting, so early calls can fail.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        run = subprocess.run(
            [*shlex.split(command), '--silent', '--show-error'],
            capture_output=True,
            check=False,
            timeout=START_TIMEOUT_S,
        )
        if run.returncode == 0 and key in json.loads(run.stdout):
            return
        assert time.monotonic() < deadline_s, (command, run)
        time.sleep(RETRY_INTERVAL_S)


def test_readme_processes_start_answer_and_stop(tmp_path, monkeypatch):
    shutil.copytree(ROOT / 'examples', tmp_path / 'examples')
    monkeypatch.chdir(tmp_path)
    substitution = _PortSubstitution()
    for settings in tmp_path.glob('examples/*/*.json'):
        settings.write_text(substitution.replace(settings.read_text()))
    commands = _commands()
    calls = [command for command in commands if command.startswith('curl')]
    running = [
        _start(command, number, substitution, tmp_path)
        for number, command in enumerate(commands)
        if command not in calls
    ]
    try:
        assert len(running) == 5
        ticket_call, method_call = calls
        _call_until(substitution.replace(ticket_call), 'version')
        _call_until(substitution.replace(method_call), 'token')
        for process in reversed(running):
            process.send(signal.SIGTERM)
            assert process.wait() == 0, process.last_output()
    finally:
        for process in running:
            process.kill()
