"""Chooses what the process runs from its files and environment: a relay, a request router or a demo."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

from thornjunction import logs
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.exit_codes import ExitCode
from thornjunction.runtime.start import Process, build_relay, build_router, run_process

# The operators' file, unless the command line names another one.
EXTRAS_PATH = Path(__file__).resolve().parent.parent / "deploy" / "extras.toml"


def run_program(environ: Mapping[str, str], extras_path: Path = EXTRAS_PATH) -> int:
    """Run until SIGTERM and return the exit code, an ``ExitCode``.

    For a faulty configuration the error is printed to standard error.
    """
    logs.log_to_stream(sys.stderr)
    try:
        process = _build_process(environ, extras_path)
    except ConfigError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return ExitCode.FAULTY_CONFIGURATION
    return run_process(process)


def _build_process(environ: Mapping[str, str], extras_path: Path) -> Process:
    """Build a relay if the file has ``[relay]``, else a router, or a demo if ``PROXY_CONFIG`` is not set."""
    if extras_path.exists():
        # Imported only if the file exists, so that a router without one does not load the relay's modules.
        from thornjunction.runtime.control_settings import load_relay

        relay_settings = load_relay(extras_path, environ)
        if relay_settings is not None:
            return build_relay(relay_settings)
    if "PROXY_CONFIG" in environ:
        return build_router(environ, extras_path)
    from thornjunction.demo.start import build_demo
    from thornjunction.net.event_loop.reactor import install

    return build_demo(install())
