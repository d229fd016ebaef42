"""Starts the real program with socket calls that fail by a schedule.

``SOCKET_FAULTS`` has a JSON list of faults: ``call`` (a method of ``socket.socket``), ``errno`` (its name),
``every`` (2: every second call fails; absent: each) and ``flag`` (a file: calls fail only while it exists).
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
    """Wrap one method of ``socket.socket``; two faults of one method are applied in turn."""
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
    """Install the faults, and run the program."""
    for fault in json.loads(os.environ["SOCKET_FAULTS"]):
        install_fault(fault)
    from thornjunction.program import run_program

    return run_program(os.environ)


if __name__ == "__main__":
    sys.exit(main())
