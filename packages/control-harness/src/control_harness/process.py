"""One process of the program, which is signalled by its own id and ended with the harness."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

INHERITED_SETTINGS = (
    "PROXY_NAME",
    "PROXY_LISTEN",
    "PROXY_ADMIN_ADDR",
    "PROXY_SOCKET_FD",
    "PROXY_CONFIG",
)
"""Environment variables that would override the files of the process, and are not passed on."""

OPERATORS_FILE = "extras.toml"
"""The name of the operators' file in the folder of a process."""


class ProgramProcess:
    """``thornjunction run --extras FILE`` in a folder of its own, whose file ``log`` has its output."""

    def __init__(self, folder: Path, config: Path | None = None) -> None:
        self.folder = folder
        self.config = config
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, which must not be running; its output is appended to the log."""
        assert self.exit_code is not None or self._popen is None
        operators_file = self.folder / OPERATORS_FILE
        command = [sys.executable, "-m", "thornjunction", "run", "--extras", str(operators_file)]
        environment = {key: value for key, value in os.environ.items() if key not in INHERITED_SETTINGS}
        environment["PYTHONPATH"] = os.pathsep.join(path or os.getcwd() for path in sys.path)
        if self.config is not None:
            environment["PROXY_CONFIG"] = str(self.config)
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(command, env=environment, cwd=self.folder, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """The id of the process that was started last."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while the process runs and before it is started."""
        if self._popen is None:
            return None
        return self._popen.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it is running."""
        if self._popen is not None and self.exit_code is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process by SIGKILL, which also ends a stopped one, and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def log_text(self) -> str:
        """Return the output of the process so far; empty before it is started."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    @property
    def _log_path(self) -> Path:
        return self.folder / "log"
