"""The installed Twisted reactor, and a wait for a condition while it runs.

Importing this module installs Twisted's default reactor unless another one is installed already.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, TypeVar

from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

ResultT = TypeVar("ResultT")

Steps = Generator[Deferred[Any], Any, ResultT]
# The return type of a function under ``inlineCallbacks``: it yields Deferreds and returns its result.

# Type checkers see a module here; at run time Twisted replaces it by the reactor object.
reactor: Any = installed_reactor

# Seconds between two checks of a condition.
CHECK_INTERVAL_S = 0.001


@inlineCallbacks
def wait_until(condition: Callable[[], object]) -> Steps[None]:
    """Wait, while the reactor runs, until a condition holds; the calling test sets the time limit."""
    while not condition():
        yield deferLater(reactor, CHECK_INTERVAL_S, lambda: None)
