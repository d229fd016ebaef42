"""One real request router: ``python -m thornjunction``."""

from __future__ import annotations

import logging
import os
import sys

from thornjunction.core.counters import Counters
from thornjunction.runtime.config import ConfigError, load_config


def main() -> int:
    """Serve until SIGTERM; the exit code."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return 2
    from twisted.internet import reactor

    from thornjunction.runtime.service import Service

    Service(config, reactor, Counters()).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
