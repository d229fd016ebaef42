"""Starts the real program with socket calls that fail as configured.

``SOCKET_FAULTS`` is a JSON list of faults with the keys ``call`` (a method of ``socket.socket``), ``errno``
(the name of the error), ``every`` (with 2, every second call fails; by default, every call) and ``flag`` (a
path: calls fail only while this file exists).
"""

from __future__ import annotations

import errno
import itertools
import json
import os
import socket
import sys
from collections.abc import Mapping
from typing import Any


def install_fault(fault: Mapping[str, Any]) -> None:
    """Wrap a method of ``socket.socket``; a second fault of the same method wraps the first."""
    call = getattr(socket.socket, fault["call"])
    error_number = getattr(errno, fault["errno"])
    interval = fault.get("every", 1)
    flag = fault.get("flag", "")
    call_numbers = itertools.count(1)

    def failing_call(self: socket.socket, *arguments: Any) -> Any:
        is_suspended = flag and not os.path.exists(flag)
        if is_suspended or next(call_numbers) % interval:
            return call(self, *arguments)
        if fault["call"] == "connect_ex":
            return error_number
        raise OSError(error_number, os.strerror(error_number))

    setattr(socket.socket, fault["call"], failing_call)


def main() -> int:
    """Install the faults, run the program, and return its exit code."""
    for fault in json.loads(os.environ["SOCKET_FAULTS"]):
        install_fault(fault)
    from thornjunction.program import run_program

    return run_program(os.environ)


if __name__ == "__main__":
    sys.exit(main())
