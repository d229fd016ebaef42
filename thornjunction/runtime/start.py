"""The start of one real router: logging, configuration, collector, then the service until its exit."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from thornjunction import logs
from thornjunction.core.counters import Counters
from thornjunction.runtime.config import ConfigError, load_config

if TYPE_CHECKING:
    from thornjunction.runtime.extras import Extras

GC_THRESHOLDS = 20_000, 50, 100  # few cycles are made; the default looks for them several times a millisecond


EXTRAS = Path(__file__).resolve().parent.parent.parent / "deploy" / "extras.toml"  # the operators' own file


def serve_or_demo(environ: Mapping[str, str], extras_path: Path = EXTRAS) -> int:
    """A relay, where the operators' file makes this process one (it reads no PROXY_CONFIG); else ``serve``;
    where PROXY_CONFIG is not set, a demo on stand-ins."""
    if extras_path.exists() and (code := _relay(environ, extras_path)) is not None:
        return code
    if "PROXY_CONFIG" in environ:
        return serve(environ, extras_path)
    from thornjunction.net.reactor import install

    reactor = install()
    from thornjunction.demo.start import serve_demo

    logs.to_stream(sys.stderr)
    return serve_demo(reactor)


def serve(environ: Mapping[str, str], extras_path: Path) -> int:
    """Serve until SIGTERM; the exit code: 0, or 2 for a faulty configuration, named on standard error."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))  # until the service takes it: nothing is owed yet
    logs.to_stream(sys.stderr)
    try:
        config = load_config(environ)
        extras = _extras(extras_path) if extras_path.exists() else None
        from thornjunction.net.reactor import install

        reactor = install()
        from thornjunction.runtime.service import Service

        service = Service(config, extras, reactor, Counters(), lambda: load_config(environ))
    except ConfigError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return service.run()


def _relay(environ: Mapping[str, str], path: Path) -> int | None:
    """The exit code of a relay, 2 where its section is faulty; None where the file has none."""
    from thornjunction.runtime.control_settings import load_relay

    logs.to_stream(sys.stderr)
    try:
        settings = load_relay(path, environ)
        if settings is None:
            return None
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))  # until the relay takes it
        from thornjunction.net.reactor import install

        reactor = install()
        from thornjunction.runtime.relay import RelayProcess

        relay = RelayProcess(settings, reactor)
    except ConfigError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return relay.run()


def _extras(path: Path) -> Extras:
    from thornjunction.runtime.extras import load_extras  # its libraries, only where there is such a file

    return load_extras(path)
