"""Reloads the signed front's key set file at SIGHUP and on a timer.

A new version replaces the front's trust atomically, between two requests.  A faulty version is logged and
changes nothing; an unchanged version is not applied again.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Protocol

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.signed_settings import KeySetFile
from thornjunction.signing import keyset, tokens

log = get_logger(__name__)


class ReloadableFile(Protocol):
    """A file that is read again while the router serves."""

    def reload(self) -> None:
        """Read the file, and use its content if it is new and valid."""


class TrustHolder(Protocol):
    """The signed front, reduced to the attribute that holds its keys.

    Attributes:
        trust: the issuers, audience, algorithms and keys whose tokens the front accepts.
    """

    trust: tokens.Trust


class KeySetReloader:
    """Keeps the keys in the front's trust equal to those in the key set file.

    Args:
        front: the front whose trust is replaced.
        source: the key set file.

    Attributes:
        counts: number of reads of the file by result: ``accepted``, ``refused`` or ``same``.
    """

    def __init__(self, front: TrustHolder, source: KeySetFile) -> None:
        self.counts = Counter[str]()
        self._front = front
        self._source = source
        self._digest = ""

    def reload(self) -> None:
        """Read the file, and use its keys if they are new and valid."""
        trust = self._front.trust
        try:
            key_set = self._source.read(trust.algorithms)
        except ConfigError as error:
            self._refuse(str(error))
            return
        if key_set.digest == self._digest:
            self.counts["same"] += 1
            return
        if trust.sign_with not in key_set.keys:
            self._refuse(f"sign_with {trust.sign_with!r} is not in the set")
            return
        self._digest = key_set.digest
        self.counts["accepted"] += 1
        changes = keyset.describe_changes(trust.keys, key_set.keys)
        log.info(LogEvent.KEY_SET_ACCEPTED, version=key_set.digest, changes=changes)
        self._front.trust = replace(trust, keys=key_set.keys)

    def _refuse(self, reason: str) -> None:
        self.counts["refused"] += 1
        log.error(LogEvent.KEY_SET_REJECTED, cause=reason)
