"""A child process of a test or tool."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

__all__ = ["ManagedProcess"]

STOP_TIMEOUT_S = 40.0


class ManagedProcess:
    """Owns one process; leaving the context ends it.

    :param name: name of its log file.
    :param arguments: arguments of the Python interpreter.
    :param log_directory: where its output goes.
    """

    def __init__(self, name: str, arguments: Sequence[str], log_directory: Path) -> None:
        self.name = name
        self._arguments = tuple(arguments)
        self.log_path = log_directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> ManagedProcess:
        self.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def kill(self) -> None:
        """End the process at once (SIGKILL)."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to end (SIGTERM) and return its exit status.

        :param timeout_s: longest wait, in seconds.
        """
        self.request_stop()
        return self.wait(timeout_s)

    def request_stop(self) -> None:
        """Send SIGTERM without waiting."""
        assert self._process is not None
        self._process.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit status.

        :param timeout_s: longest wait, in seconds.
        """
        assert self._process is not None
        return self._process.wait(timeout_s)

    def signal(self, number: int) -> None:
        """Send a signal.

        :param number: number of the signal.
        """
        assert self._process is not None
        self._process.send_signal(number)

    def pause(self) -> None:
        """Freeze the process (SIGSTOP)."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process run on (SIGCONT)."""
        self.signal(signal.SIGCONT)

    def read_log(self) -> str:
        """Return the output so far."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
