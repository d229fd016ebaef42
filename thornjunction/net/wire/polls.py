"""A poll of the command channel as a relay is asked it (docs/design/control.md, "The wire"): bounded, and
read without a library, for a relay is asked thousands of times a second."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from thornjunction.net.wire import ProtocolError

PATH = "/cmd/next"
MAX_TARGET, MOST_PAIRS, MOST_NAMES = 1024, 16, 8
MOST_BLOCK_MS = 5_000  # the protocol's
ROLES = "router", "relay", "sibling", "probe"
NAME, NUMBER = re.compile(r"[A-Za-z0-9._-]{1,32}"), re.compile(r"[0-9]{1,16}")
LARGEST = 1 << 53


@dataclass(frozen=True, slots=True)
class Poll:
    """What is asked.  ``done``, ``behind`` and ``names`` come from a relay: what all of its routers have
    confirmed, how many have not confirmed more, and some of these; None or empty where it told nothing."""

    resume: int
    block_ms: int
    epoch: str = ""
    role: str = "router"
    name: str = ""
    done: int | None = None
    behind: int = 0
    names: tuple[str, ...] = ()

    def at_once(self) -> Poll:
        """The same, to be answered with what there is now."""
        return replace(self, block_ms=0)


def decode_poll(target: str) -> Poll:
    """The poll of a request's target; ProtocolError, with a code for the log, for what is none.  Keys that
    are not known are passed over, for the protocol may grow."""
    path, _, query = target.partition("?")
    if path != PATH:
        raise ProtocolError("poll-path")
    if len(target) > MAX_TARGET:
        raise ProtocolError("poll-size")
    pairs = [pair.partition("=") for pair in query.split("&")]
    told = {key: value for key, _, value in pairs}
    if len(pairs) > MOST_PAIRS or len(told) < len(pairs):
        raise ProtocolError("poll-pairs")
    role = told.get("as", "router")
    if role not in ROLES:
        raise ProtocolError("poll-as")
    listed = told.get("names", "").replace("%2C", ",").replace("%2c", ",")
    names = tuple(listed.split(",")) if listed else ()
    if len(names) > MOST_NAMES or not all(map(NAME.fullmatch, names)):
        raise ProtocolError("poll-names")
    return Poll(
        resume=_number(told, "resume"),
        block_ms=min(_number(told, "block", "0"), MOST_BLOCK_MS),
        epoch=_name(told, "epoch"),
        role=role,
        name=_name(told, "name"),
        done=_number(told, "done") if "done" in told else None,
        behind=_number(told, "behind", "0"),
        names=names,
    )


def _number(told: dict[str, str], key: str, default: str = "") -> int:
    text = told.get(key, default)
    if not NUMBER.fullmatch(text) or (number := int(text)) > LARGEST:
        raise ProtocolError(f"poll-{key}")
    return number


def _name(told: dict[str, str], key: str) -> str:
    text = told.get(key, "")
    if text and not NAME.fullmatch(text):
        raise ProtocolError(f"poll-{key}")
    return text
