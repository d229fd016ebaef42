"""Prints a signed URL: ``python -m thornjunction.signing deploy/extras.toml /CLASS/GROUP/OBJECT/PART``."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from thornjunction.net.wire.signed import PACKAGE
from thornjunction.runtime.config import ConfigError, load_extras
from thornjunction.signing.tokens import COOKIE, hash_of, issue


def main(arguments: list[str] | None = None) -> int:
    """The exit code."""
    parser = argparse.ArgumentParser(prog="thornjunction.signing")
    parser.add_argument("config", type=Path)
    parser.add_argument("path")
    parser.add_argument("--lifetime", type=int, default=3600, help="seconds")
    parser.add_argument("--renew", type=int, default=0, help="seconds that each renewed cookie lives")
    told = parser.parse_args(arguments)
    try:
        front = load_extras(told.config).signed
    except ConfigError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return 2
    if front is None:
        print(f"thornjunction: no [signed] in {told.config}", file=sys.stderr)
        return 2
    uri = front.base + told.path
    renewal = {"cdniets": told.renew, "cdnistt": COOKIE} if told.renew else {}
    token = issue(front.trust, f"hash:{hash_of(uri)}", time.time(), told.lifetime, **renewal)
    print(f"{uri}{'&' if '?' in uri else '?'}{PACKAGE}={token}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
