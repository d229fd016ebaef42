"""The program's reactor: the platform's own on the monotonic clock; on Linux it handles clients first.

Twisted's reactors count by the wall clock.  A step of that clock back by an hour would put off every delayed
call by an hour, and with them deadlines, grace periods and the exit; a step forward would run all at once.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet import main

try:  # on Linux
    from thornjunction.net.event_loop.client_priority import ClientPriorityReactor as PlatformReactor
except ImportError:  # no epoll
    from twisted.internet.selectreactor import SelectReactor as PlatformReactor


class MonotonicReactor(PlatformReactor):
    """The platform's reactor, whose delayed calls count by the monotonic clock."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Return the process's ``MonotonicReactor``, which the first call installs.

    The first call has to come before the first import of ``twisted.internet.reactor``, which installs
    Twisted's own reactor; after that it raises ``ReactorAlreadyInstalledError``.
    """
    installed = sys.modules.get("twisted.internet.reactor")
    if not isinstance(installed, MonotonicReactor):
        make_reactor: Any = MonotonicReactor
        install_reactor: Any = main.installReactor
        installed = make_reactor()
        install_reactor(installed)
    return installed
