"""Exit codes of a router, relay or demo process."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Why a router, relay or demo process ended.

    Attributes:
        STOPPED: it was stopped by SIGTERM, after all accepted requests were answered.
        PORT_NOT_OPENED: a port could not be opened.
        FAULTY_CONFIGURATION: the configuration or the operators' file is faulty.
    """

    STOPPED = 0
    PORT_NOT_OPENED = 1
    FAULTY_CONFIGURATION = 2
