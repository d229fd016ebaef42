"""The installed reactor, and waiting for a condition while it runs.

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
# What a function under ``inlineCallbacks`` returns: the Deferreds that it waits for, then its result.

# Twisted's reactor module has the type of a module, not that of the reactor which takes its place.
reactor: Any = installed_reactor

# Seconds between two checks of a condition.
CHECK_INTERVAL_S = 0.001


@inlineCallbacks
def wait_until(condition: Callable[[], object]) -> Steps[None]:
    """Run the reactor until a condition holds; the time limit is that of the calling test."""
    while not condition():
        yield deferLater(reactor, CHECK_INTERVAL_S, lambda: None)
