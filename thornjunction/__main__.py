"""One real request router: ``python -m thornjunction``."""

from __future__ import annotations

import gc
import logging
import os
import sys
from pathlib import Path

from thornjunction.core.counters import Counters
from thornjunction.runtime.config import ConfigError, load_config, load_extras

EXTRAS = Path(__file__).resolve().parent.parent / "deploy" / "extras.toml"
LOG_FORMAT = "%(asctime)s %(process)d %(name)s %(message)s"  # two processes may write to one log
GC_THRESHOLDS = 20_000, 50, 100  # few cycles are made; the default looks for them several times a millisecond


def main() -> int:
    """Serve until SIGTERM; the exit code."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=LOG_FORMAT)
    try:
        config = load_config(os.environ)
        extras = load_extras(EXTRAS)
    except ConfigError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return 2
    from twisted.internet import reactor

    from thornjunction.runtime.service import Service

    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return Service(config, extras, reactor, Counters(), lambda: load_config(os.environ)).run()


if __name__ == "__main__":
    sys.exit(main())
