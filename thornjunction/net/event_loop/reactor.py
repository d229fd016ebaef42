"""The program's reactor, which uses the monotonic clock and, on Linux, handles clients first.

Twisted's reactors use the wall clock.  If that clock is set back by an hour, each delayed call is an hour
late, and with it deadlines, grace periods and the exit; if it is set forward, all of them run at once.
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
    """The operating system's reactor, with delayed calls scheduled by the monotonic clock."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Return the process's ``MonotonicReactor``; the first call installs it.

    The first call must precede the first import of ``twisted.internet.reactor``, which installs Twisted's
    default reactor; after that it raises ``ReactorAlreadyInstalledError``.
    """
    installed = sys.modules.get("twisted.internet.reactor")
    if not isinstance(installed, MonotonicReactor):
        make_reactor: Any = MonotonicReactor
        install_reactor: Any = main.installReactor
        installed = make_reactor()
        install_reactor(installed)
    return installed
