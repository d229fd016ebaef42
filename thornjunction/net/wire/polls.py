"""Decoder of the polls that a relay receives on the command channel (docs/design/control.md, "The wire").

It limits their size and uses no library, because a relay receives thousands of polls per second.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace

from thornjunction.net.wire import ProtocolError

# Path of a poll.
PATH = "/cmd/next"

# Most characters of path and query: several times what a relay sends with all its lagging routers.
MAX_TARGET_CHARACTERS = 1024

# Most parameters of a poll: twice the number of the known ones, because the protocol may be extended.
MAX_PAIRS = 16

# Most lagging routers that a relay names.
MAX_NAMES = 8

# Longest time that a poll may wait, according to the protocol.
MAX_BLOCK_MS = 5_000

# Values of the parameter ``as``.
ROLES = ("router", "relay", "sibling", "probe")

# Format of the name of a router, a relay or an epoch.
NAME = re.compile(r"[A-Za-z0-9._-]{1,32}")

# Format of a number.
NUMBER = re.compile(r"[0-9]{1,16}")

# Largest integer that all JSON readers interpret alike.
MAX_NUMBER = 1 << 53


@dataclass(frozen=True, slots=True)
class Poll:
    """A poll.  Only relays send the last three fields.

    Attributes:
        resume: number of the last event that the poller has.
        block_ms: longest time that the poll may wait for an event, in milliseconds.
        epoch: epoch that the event numbers belong to; empty if not named.
        role: role of the poller, one of ``ROLES``.
        name: name of the poller; empty if not named.
        acknowledged: number of the last event that all routers below the relay have; None if not reported.
        lagging_count: number of routers below the relay that have no event after ``acknowledged``.
        lagging_names: names of some of these routers.
    """

    resume: int
    block_ms: int
    epoch: str = ""
    role: str = "router"
    name: str = ""
    acknowledged: int | None = None
    lagging_count: int = 0
    lagging_names: tuple[str, ...] = ()

    def without_waiting(self) -> Poll:
        """Return the same poll with no waiting time, to be answered immediately."""
        return replace(self, block_ms=0)


def decode_poll(target: str) -> Poll:
    """Decode the target of a request; unknown parameters are ignored, because the protocol may be extended.

    Raises:
        ProtocolError: the target is not a poll, or exceeds a limit.
    """
    path, _, query = target.partition("?")
    if path != PATH:
        raise ProtocolError("poll-path")
    if len(target) > MAX_TARGET_CHARACTERS:
        raise ProtocolError("poll-size")
    params = _decode_params(query)
    role = params.get("as", "router")
    if role not in ROLES:
        raise ProtocolError("poll-as")
    lagging_names = _decode_names(params)
    return Poll(
        resume=_decode_number(params, "resume"),
        block_ms=min(_decode_number(params, "block", "0"), MAX_BLOCK_MS),
        epoch=_decode_name(params, "epoch"),
        role=role,
        name=_decode_name(params, "name"),
        acknowledged=_decode_number(params, "done") if "done" in params else None,
        lagging_count=_decode_number(params, "behind", "0"),
        lagging_names=lagging_names,
    )


def _decode_params(query: str) -> Mapping[str, str]:
    pairs = [pair.partition("=") for pair in query.split("&")]
    params = {key: value for key, _, value in pairs}
    if len(pairs) > MAX_PAIRS or len(params) < len(pairs):
        raise ProtocolError("poll-pairs")
    return params


def _decode_names(params: Mapping[str, str]) -> tuple[str, ...]:
    """Decode names that are separated by commas, which may be percent-encoded."""
    text = params.get("names", "").replace("%2C", ",").replace("%2c", ",")
    names = tuple(text.split(",")) if text else ()
    if len(names) > MAX_NAMES or not all(map(NAME.fullmatch, names)):
        raise ProtocolError("poll-names")
    return names


def _decode_number(params: Mapping[str, str], key: str, default: str = "") -> int:
    text = params.get(key, default)
    if not NUMBER.fullmatch(text) or int(text) > MAX_NUMBER:
        raise ProtocolError(f"poll-{key}")
    return int(text)


def _decode_name(params: Mapping[str, str], key: str) -> str:
    text = params.get(key, "")
    if text and not NAME.fullmatch(text):
        raise ProtocolError(f"poll-{key}")
    return text
