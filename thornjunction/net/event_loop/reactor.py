"""The program's reactor: the platform's own, on the system's monotonic clock; on Linux with clients first.

Twisted's reactors count by the wall clock.  A step of that clock back by an hour would put off every delayed
call by an hour, and with them deadlines, graces and the exit; a step forward would run them all at once."""

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
    """Delayed calls are spans of the monotonic clock."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """The process's ``MonotonicReactor``, installed by the first call.

    It has to come before the first import of ``twisted.internet.reactor``, which installs Twisted's own:
    ReactorAlreadyInstalledError after that."""
    installed = sys.modules.get("twisted.internet.reactor")
    if not isinstance(installed, MonotonicReactor):
        make_reactor: Any = MonotonicReactor
        install_reactor: Any = main.installReactor
        installed = make_reactor()
        install_reactor(installed)
    return installed
