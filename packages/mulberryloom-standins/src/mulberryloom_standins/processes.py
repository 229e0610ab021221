"""Child processes of trials, signalled and ended by their process id."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from mulberryloom_core.identity import Address

_POLL_INTERVAL_S = 0.02
_CONNECT_TIMEOUT_S = 0.5
_STOP_TIMEOUT_S = 10.0
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class ChildProcess:
    """A Python module that runs as a child process.

    Its output is written to a file. Construct it with :meth:`start`.

    :ivar log: file with standard output and standard error.
    """

    def __init__(
        self, name: str, popen: subprocess.Popen, log: pathlib.Path
    ) -> None:
        self.name = name
        self.log = log
        self._popen = popen

    @classmethod
    def start(
        cls, name: str, arguments: list[str], directory: pathlib.Path
    ) -> 'ChildProcess':
        """Start ``python -m`` with the arguments.

        :param name: name of the process and of its log file.
        :param directory: directory of the log file, which is appended to.
        """
        log = directory / f'{name}.log'
        with log.open('ab') as output:
            popen = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        return cls(name, popen, log)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, ``None`` while the process runs.

        It is the negative number of the signal that ended the process.
        """
        return self._popen.poll()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.exit_code is None:
            self._popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process, and wait until it has ended."""
        self.send(signal.SIGKILL)
        self._popen.wait(_STOP_TIMEOUT_S)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the end, and return the exit code.

        :raises subprocess.TimeoutExpired: when it still runs after the
            timeout.
        """
        return self._popen.wait(timeout_s)

    def wait_until_listening(self, address: Address, timeout_s: float) -> None:
        """Wait until the address accepts connections.

        :raises TimeoutError: when the process has ended, or does not listen
            in time; with the last lines of its output.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.exit_code is not None or not _is_listening(address):
            if self.exit_code is not None or time.monotonic() > deadline_s:
                raise TimeoutError(
                    f'{self.name} does not listen on {address}; exit code '
                    f'{self.exit_code}; output:\n{self.last_output()}'
                )
            time.sleep(_POLL_INTERVAL_S)

    def last_output(self, lines: int = 20) -> str:
        """Return the last lines of the output."""
        text = self.log.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-lines:])

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        return (user_ticks + system_ticks) / _CLOCK_TICKS_PER_S

    def resident_mb(self) -> float:
        """Return the resident memory in mebibytes."""
        statm = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        return int(statm.split()[1]) * _PAGE_BYTES / 2**20


def _is_listening(address: Address) -> bool:
    try:
        with socket.create_connection(
            (address.host, address.port), _CONNECT_TIMEOUT_S
        ):
            return True
    except OSError:
        return False
