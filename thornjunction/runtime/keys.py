"""The second front's keys in service: the key set file read again at SIGHUP and on a timer.  A new version
replaces the front's trust whole, between two requests; one that is faulty changes nothing and is named in
the log; an unchanged file is not parsed again."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Protocol

from thornjunction.logs import get_logger
from thornjunction.net.front_signed import Door
from thornjunction.runtime.config import ConfigError
from thornjunction.runtime.extras import KeySource
from thornjunction.signing import keyset

log = get_logger(__name__)


class Watch(Protocol):
    """A file read again while the router serves."""

    def look(self) -> None: ...


class KeyWatch:
    """Keeps ``door.trust.keys`` as the file says; ``counts`` has ``accepted``, ``refused`` and ``same``."""

    def __init__(self, door: Door, source: KeySource) -> None:
        self.door, self.source = door, source
        self.digest = ""
        self.counts = Counter[str]()

    def look(self) -> None:
        """Read the file; take it where it is new and whole."""
        trust = self.door.trust
        try:
            found = self.source.read(trust.algorithms)
        except ConfigError as error:
            self.counts["refused"] += 1
            log.error("keys refused, nothing changed", reason=str(error))
            return
        if found.digest == self.digest:
            self.counts["same"] += 1
            return
        if trust.sign_with not in found.keys:
            self.counts["refused"] += 1
            log.error(
                "keys refused, nothing changed", reason=f"sign_with {trust.sign_with!r} is not in the set"
            )
            return
        self.digest = found.digest
        self.counts["accepted"] += 1
        log.info("keys", version=found.digest, changes=keyset.describe_changes(trust.keys, found.keys))
        self.door.trust = replace(trust, keys=found.keys)
