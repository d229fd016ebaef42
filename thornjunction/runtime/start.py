"""Builds and runs a process: signals, configuration, reactor and garbage collector."""

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
# The program creates few reference cycles; with the interpreter's defaults the collector would run several
# times per millisecond.
GC_THRESHOLDS = (20_000, 50, 100)


class Process(Protocol):
    """A router, relay or demo that has been built and not yet started."""

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""


def build_router(environ: Mapping[str, str], extras_path: Path) -> Process:
    """Build the router that the environment and the operators' file describe.

    Raises ConfigError if one of them is faulty.
    """
    _exit_on_sigterm()
    config = load_config(environ)
    extras = _load_extras(extras_path)
    # Imported after the configuration was read, so that a faulty one is reported without loading the reactor.
    from thornjunction.net.event_loop.reactor import install

    reactor = install()
    from thornjunction.runtime.service import Service

    return Service(config, extras, reactor, Counters(), lambda: load_config(environ))


def build_relay(settings: RelaySettings) -> Process:
    """Build a relay.  Raises ConfigError if the limit on this process's file descriptors is too low."""
    _exit_on_sigterm()
    from thornjunction.net.event_loop.reactor import install

    reactor = install()
    from thornjunction.runtime.relay import RelayProcess

    return RelayProcess(settings, reactor)


def run_process(process: Process) -> int:
    """Run a process and return its exit code.

    Objects that exist at this point live until the exit, so the garbage collector is told to ignore them.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return process.run()


def _exit_on_sigterm() -> None:
    """Exit with 0 on SIGTERM until the process installs its own handler: no client has been accepted yet."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


def _load_extras(path: Path) -> Extras | None:
    if not path.exists():
        return None
    # Imported only if the file exists, because the libraries of this module use memory.
    from thornjunction.runtime.extras import load_extras

    return load_extras(path)
