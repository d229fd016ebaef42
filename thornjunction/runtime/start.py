"""The start of a process: signals, configuration, reactor and garbage collector."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from thornjunction.core.counters import Counters
from thornjunction.runtime.config import load_config

if TYPE_CHECKING:
    from thornjunction.runtime.control_settings import RelaySettings
    from thornjunction.runtime.extras import Extras

# Thresholds of the garbage collector's three generations, in objects and collections.
# Few cycles are made; with the interpreter's defaults it would run several times a millisecond.
GC_THRESHOLDS = (20_000, 50, 100)


class Process(Protocol):
    """A router, relay or demo that is built and not yet started."""

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""


def build_router(environ: Mapping[str, str], extras_path: Path) -> Process:
    """Build the router that the environment and the operators' file describe.

    Raises ConfigError where one of them is faulty.
    """
    _exit_on_sigterm()
    config = load_config(environ)
    extras = _load_extras(extras_path)
    # Imported after the configuration was read: a faulty one is reported without the reactor's start.
    from thornjunction.net.event_loop.reactor import install

    reactor = install()
    from thornjunction.runtime.service import Service

    return Service(config, extras, reactor, Counters(), lambda: load_config(environ))


def build_relay(settings: RelaySettings) -> Process:
    """Build a relay; raises ConfigError where the process may open too few descriptors."""
    _exit_on_sigterm()
    from thornjunction.net.event_loop.reactor import install

    reactor = install()
    from thornjunction.runtime.relay import RelayProcess

    return RelayProcess(settings, reactor)


def run_process(process: Process) -> int:
    """Run a process and return its exit code.

    Objects that exist by now stay: the garbage collector need not examine them again.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return process.run()


def _exit_on_sigterm() -> None:
    """Exit with 0 on SIGTERM until the process handles the signal itself: no client was accepted yet."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


def _load_extras(path: Path) -> Extras | None:
    if not path.exists():
        return None
    # Imported only where there is such a file: its libraries cost memory.
    from thornjunction.runtime.extras import load_extras

    return load_extras(path)
