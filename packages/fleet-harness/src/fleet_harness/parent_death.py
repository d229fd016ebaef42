"""Ends a process with its parent, even if that is killed, by the kernel's parent-death signal.

``python -m fleet_harness.parent_death PARENT_PID COMMAND..`` requests the signal and executes the command.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from collections.abc import Sequence

# The option of prctl(2) that sets the parent-death signal, which is kept across execve(2).
PR_SET_PDEATHSIG = 1


def die_with_parent(parent_pid: int) -> None:
    """Have the kernel kill this process when the thread that started it ends.

    ``parent_pid`` is the id of the parent.  Raises OSError if the system does not support the signal.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent_pid:  # the parent has ended before the call to prctl
        os.kill(os.getpid(), signal.SIGKILL)


def wrapped_command(command: Sequence[str]) -> list[str]:
    """Return a command that runs the given one, and is killed when this process ends."""
    return [sys.executable, "-m", "fleet_harness.parent_death", str(os.getpid()), *command]


if __name__ == "__main__":
    die_with_parent(int(sys.argv[1]))
    os.execv(sys.argv[2], sys.argv[2:])
