"""Starts the real program with socket calls that fail by a schedule.

``SOCKET_FAULTS`` holds a JSON list of faults: ``call`` (a method of ``socket.socket``), ``errno`` (its name),
``every`` (of the calls, which one fails: 2 is every second; absent: each) and ``flag`` (a file: calls fail
only while it exists).
"""

from __future__ import annotations

import errno
import itertools
import json
import os
import socket
import sys
from typing import Any


def install(fault: dict[str, Any]) -> None:
    """Wrap one method of ``socket.socket``; two faults of one method are applied in turn."""
    call = getattr(socket.socket, fault["call"])
    number = getattr(errno, fault["errno"])
    every = fault.get("every", 1)
    flag = fault.get("flag", "")
    turns = itertools.count(1)

    def failing(self: socket.socket, *given: Any) -> Any:
        if (flag and not os.path.exists(flag)) or next(turns) % every:
            return call(self, *given)
        if fault["call"] == "connect_ex":
            return number
        raise OSError(number, os.strerror(number))

    setattr(socket.socket, fault["call"], failing)


def main() -> int:
    for fault in json.loads(os.environ["SOCKET_FAULTS"]):
        install(fault)
    from thornjunction.program import run_program

    return run_program(os.environ)


if __name__ == "__main__":
    sys.exit(main())
