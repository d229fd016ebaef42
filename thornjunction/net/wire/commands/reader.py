"""Readers of complete responses and of parts of long ones."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any, NamedTuple

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands.events import read_event
from thornjunction.net.wire.commands.messages import Command, Commands, Purge
from thornjunction.net.wire.commands.values import (
    MALFORMED_VALUE_ERRORS,
    Faults,
    TooManyFaultsError,
    optional_unsigned,
    unsigned,
)

# Most faults of one response that are reported for the log.
MAX_REPORTED_FAULTS = 8

# Allowed characters of an epoch's name.
EPOCH_CHARACTERS = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-")

# Largest length of an epoch's name.
MAX_EPOCH_CHARACTERS = 32


class _NumberedEvent(NamedTuple):
    """An event as parsed JSON, and its number; None if the number cannot be read."""

    number: int | None
    event: Any


class _EventsRead(NamedTuple):
    """The events that could be read, and the first codes of the faults."""

    events: list[Command]
    faults: tuple[str, ...]


def decode_commands(data: bytes) -> Commands:
    """Decode a response.

    Raises:
        ProtocolError: ``commands-form``, the data is not a response; ``commands-faults``, too many faults.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ProtocolError("commands-form") from error
    return parse_commands(document)


def parse_commands(document: Any) -> Commands:
    """Read a response from parsed JSON; the configuration contains one too.

    Raises:
        ProtocolError: ``commands-form``, it is not a response; ``commands-faults``, too many faults.
    """
    head = parse_head(document)
    listed = document.get("cmds")
    if not isinstance(listed, list):
        raise ProtocolError("commands-form")
    found = _read_events([_numbered(event) for event in listed], head.cursor)
    events = sorted(found.events, key=lambda command: command.cursor)
    return replace(head, events=tuple(events), faults=found.faults)


def parse_head(document: Any) -> Commands:
    """Read a response without its events.

    Raises:
        ProtocolError: ``commands-form``, the response has no cursor.
    """
    try:
        cursor = int(unsigned(document["cursor"]))
        epoch = document.get("epoch")
    except MALFORMED_VALUE_ERRORS as error:
        raise ProtocolError("commands-form") from error
    is_named = isinstance(epoch, str) and _is_epoch(epoch)
    return Commands(cursor, (), epoch=epoch if is_named else None, age_ms=optional_unsigned(document, "age"))


def parse_partial(listed: list[Any], known_cursor: int) -> Commands:
    """Read some events of a long response, and return them as a response of their own.

    Its drains precede its purges.  An event whose number cannot be read counts as the last one.

    Args:
        listed: complete events as parsed JSON.
        known_cursor: number of the last known event; the events up to it are skipped.

    Raises:
        ProtocolError: ``commands-faults``, too many faults.
    """
    numbered = [_numbered(event) for event in listed]
    last = max((number for number, _ in numbered if number is not None), default=known_cursor)
    unknown = [entry for entry in numbered if entry.number is None or entry.number > known_cursor]
    events, faults = _read_events(unknown, max(last, known_cursor))
    events.sort(key=lambda command: (isinstance(command, Purge), command.cursor))
    cursor = max((command.cursor for command in events), default=known_cursor)
    return Commands(cursor, tuple(events), faults)


def _read_events(numbered: list[_NumberedEvent], last: int) -> _EventsRead:
    """Read events; one without a readable number gets the number ``last``, so that it is not skipped."""
    faults = Faults()
    events: list[Command] = []
    try:
        for number, event in numbered:
            if number is None:
                faults.add("event-cursor")
            command = read_event(event, last if number is None else number, faults)
            if command is not None:
                events.append(command)
    except TooManyFaultsError as error:
        raise ProtocolError("commands-faults") from error
    return _EventsRead(events, tuple(faults.codes[:MAX_REPORTED_FAULTS]))


def _numbered(event: Any) -> _NumberedEvent:
    try:
        return _NumberedEvent(int(unsigned(event["cursor"])), event)
    except MALFORMED_VALUE_ERRORS:
        return _NumberedEvent(None, event)


def _is_epoch(text: str) -> bool:
    return 0 < len(text) <= MAX_EPOCH_CHARACTERS and EPOCH_CHARACTERS.issuperset(text)
