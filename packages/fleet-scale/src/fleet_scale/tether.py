"""No process outlives the run: the kernel kills a tethered one when the thread that started it ends, however
that ends.  ``python -m fleet_scale.tether PARENT COMMAND..`` tethers itself and becomes the command."""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # prctl(2); kept across execve(2)


def tether(parent: int) -> None:
    """Die with that process, which has to be this one's parent.  OSError where the system can't."""
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:  # Guards against a parent that ended before the call
        os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    tether(int(sys.argv[1]))
    os.execv(sys.argv[2], sys.argv[2:])
