"""One program of the rig: started, signalled by its own id, and ended with the rig."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

SECTIONS_OFF = "PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR", "PROXY_SOCKET_FD", "PROXY_CONFIG"


class Process:
    """``thornjunction run --extras FILE`` in a folder of its own; its log is the file ``log`` there."""

    def __init__(self, folder: Path, config: Path | None = None) -> None:
        self.folder, self.config = folder, config
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Once it has ended, again; the log goes on."""
        assert self.code is not None or self._popen is None
        command = [sys.executable, "-m", "thornjunction", "run", "--extras", str(self.folder / "extras.toml")]
        env = {key: value for key, value in os.environ.items() if key not in SECTIONS_OFF}
        env["PYTHONPATH"] = os.pathsep.join(path or os.getcwd() for path in sys.path)
        if self.config is not None:
            env["PROXY_CONFIG"] = str(self.config)
        with (self.folder / "log").open("ab") as log:
            self._popen = subprocess.Popen(command, env=env, cwd=self.folder, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """Of the process that was started last."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def code(self) -> int | None:
        """The exit code, negative for a signal; None while it runs."""
        return self._popen.poll() if self._popen is not None else None

    def signal(self, number: signal.Signals) -> None:
        """To this process alone, while it lives."""
        if self._popen is not None and self.code is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End it at once, also where it is stopped, and wait until it has ended."""
        self.signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def log(self) -> str:
        """All that it has said."""
        path = self.folder / "log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""
