"""Reads the settings, a JSON object in the simulator's first message and in the router's configuration."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from thornjunction import interface as api

# Greatest number that a setting may have; up to it a float represents each whole millisecond exactly.
MAX_NUMBER = 1e15
# Greatest number of characters of an invalid value that an error shows.
MAX_SHOWN_CHARACTERS = 80
# Settings that are lists with a value for each class.
VALUES_BY_CLASS = ("classFreshMs", "passOn", "staleEarns", "staleForMs")
# Settings that are lists with a value for each zone.
VALUES_BY_ZONE = ("hubByZone", "instancesByZone", "pipeKbPerS")
# Milliseconds per second: rates are configured per second and used per millisecond.
MS_PER_S = 1000.0


class WireError(Exception):
    """A line or a setting is malformed or invalid; the text names it."""


class MissingSettingError(WireError):
    """A required setting is missing."""

    def __init__(self, name: str) -> None:
        super().__init__(f"setting {name!r} is missing")


class InvalidSettingError(WireError):
    """A setting has a value of the wrong type or out of range."""

    def __init__(self, name: str, value: Any) -> None:
        super().__init__(f"setting {name!r} has an invalid value {value!r}")


class NotAnObjectError(WireError):
    """A group of settings is not a JSON object."""

    def __init__(self, name: str) -> None:
        super().__init__(f"setting {name!r} is not an object")


class InvalidJsonError(WireError):
    """The text of the settings is not JSON."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"settings are not JSON: {cause}")


class ShortListError(WireError):
    """A setting has fewer values than there are classes or zones."""

    def __init__(self, name: str, count: int) -> None:
        super().__init__(f"setting {name!r} has fewer than {count} values")


class UnknownZoneError(WireError):
    """A setting refers to a zone by an index that is outside the list of zones."""

    def __init__(self, name: str) -> None:
        super().__init__(f"setting {name!r} has an index outside the list of zones")


def _shorten(value: Any) -> str:
    return str(value)[:MAX_SHOWN_CHARACTERS]


class SettingsReader:
    """Reads values of a JSON object by name; errors show the names with the prefix ``path``.

    All methods raise ``MissingSettingError`` for a setting that is missing and has no default, and
    ``InvalidSettingError`` for one of the wrong type or out of range.
    """

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise NotAnObjectError(path or "params")
        self.data = data
        self.path = path

    def get(self, name: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        """Return the value of a setting, which must be of the given type; a bool is not a number."""
        value = self.data.get(name, default)
        if value is None:
            raise MissingSettingError(self.path + name)
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise InvalidSettingError(self.path + name, value)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number from 0 to ``MAX_NUMBER``."""
        return self._checked(name, self.get(name, (int, float), default))

    def positive(self, name: str) -> float:
        """Return a number above 0, up to ``MAX_NUMBER``."""
        value = self.number(name)
        if not value > 0:
            raise InvalidSettingError(self.path + name, value)
        return value

    def numbers(self, name: str) -> list[float]:
        """Return a list of numbers from 0 to ``MAX_NUMBER``; empty if the setting is missing."""
        return [self._checked(name, value) for value in self.get(name, list, [])]

    def check_length(self, name: str, count: int) -> None:
        """Check that a list that has a value for each class or zone is complete, or missing."""
        values: list[Any] = self.get(name, list, [])
        if 0 < len(values) < count:
            raise ShortListError(self.path + name, count)

    def values(self, name: str, kind: type, minimum_count: int = 0) -> list[Any]:
        """Return a list of values of one type; empty if the setting is missing and may be empty."""
        values: list[Any] = self.get(name, list, None if minimum_count else [])
        if len(values) < minimum_count or not all(isinstance(value, kind) for value in values):
            raise InvalidSettingError(self.path + name, _shorten(values))
        return values

    def choice(self, name: str, options: type[Any], default: str | None = None) -> Any:
        """Return the member of the enum ``options`` that has the setting's value."""
        value = self.get(name, str, default)
        try:
            return options(value)
        except ValueError as error:
            raise InvalidSettingError(self.path + name, value) from error

    def section(self, name: str) -> SettingsReader:
        """Return a reader of the JSON object that is the setting's value."""
        return SettingsReader(self.get(name, dict), f"{self.path}{name}.")

    def _checked(self, name: str, value: Any) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_NUMBER:
            raise InvalidSettingError(self.path + name, _shorten(value))
        return float(value)


def read_class(data: Any, index: int, specifics: SettingsReader) -> api.RequestClass:
    """Return one request class; lists in ``specifics`` have a value for each class, by its index."""
    params = SettingsReader(data, f"classes[{index}].")
    idempotency = params.choice("idempotency", api.Idempotency)
    is_keyed = idempotency is api.Idempotency.KEYED
    deduplication_window_ms = params.number("memorySpanMs", None if is_keyed else 0.0)
    uncacheable = specifics.values("passOn", bool)

    def by_class(name: str) -> float:
        values = specifics.numbers(name)
        return values[index] if index < len(values) else 0.0

    return api.RequestClass(
        name=params.get("name", str),
        latency_objective_ms=params.number("aimMs"),
        client_timeout_ms=params.positive("giveUpMs"),
        idempotency=idempotency,
        objective_transfer_factor=params.number("aimStretch", 0.0),
        late_value_share=params.number("lateWorth", 0.0),
        priority_weight=params.number("worth", 1.0),
        deduplication_scope=params.choice("group", api.DeduplicationScope, None if is_keyed else "all"),
        deduplication_window_ms=deduplication_window_ms,
        freshness_ms=by_class("classFreshMs"),
        stale_grace_ms=by_class("staleForMs") if by_class("staleEarns") > 0 else 0.0,
        uncacheable=index < len(uncacheable) and uncacheable[index],
    )


def parse_json(text: str | bytes) -> Any:
    """Parse the settings' text as JSON; raises ``InvalidJsonError``."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidJsonError(error) from error


def read_settings(params: SettingsReader) -> api.Settings:
    """Convert the platform's settings to the router's; raises ``WireError`` if one is invalid."""
    allowed = params.section("allowed")
    safety = params.section("safety")
    specifics = params.section("specifics")
    zones: list[str] = params.values("zones", str, minimum_count=1)
    classes = params.values("classes", Mapping, minimum_count=1)
    for name in VALUES_BY_CLASS:
        specifics.check_length(name, len(classes))
    for name in VALUES_BY_ZONE:
        specifics.check_length(name, len(zones))
    common = api.Settings(
        classes=tuple(read_class(data, index, specifics) for index, data in enumerate(classes)),
        zone=params.get("myZone", str),
        router_count=int(params.number("instances")),
        routers_by_zone={},
        max_attempts=math.ceil(allowed.positive("attemptsCap")),
        drain_grace_ms=safety.number("drainGraceMs"),
        initial_capacity_share=safety.number("startCapacity"),
        slow_start_ms=safety.number("coldMs"),
        overload_multiple=safety.number("fallMultiple"),
        overload_window_ms=safety.number("fallMs"),
        answer_slack_ms=safety.number("answerSlackMs", 0.0),
        servers_weighted=params.get("weights", str, "none") in ("nominal", "rough"),
        may_cancel=allowed.get("cancel", bool, False),
        may_hedge=allowed.get("secondCopies", bool, False),
        may_check_health=allowed.get("probing", bool, False),
        may_send_retry_after=allowed.get("retryAfter", bool, False),
        max_retry_after_ms=allowed.number("maxRetryAfterMs", 0.0),
    )
    return _with_specifics(common, specifics, zones)


def _with_specifics(settings: api.Settings, specifics: SettingsReader, zones: list[str]) -> api.Settings:
    """Return the settings with those in ``specifics``, whose lists have a value for each zone."""

    def by_zone(name: str) -> dict[str, float]:
        return dict(zip(zones, specifics.numbers(name), strict=False))

    hubs = {zone: int(hub) for zone, hub in by_zone("hubByZone").items()}
    if any(hub >= len(zones) for hub in hubs.values()):
        raise UnknownZoneError(specifics.path + "hubByZone")
    links_kb_per_s = by_zone("pipeKbPerS")
    return replace(
        settings,
        routers_by_zone={zone: int(count) for zone, count in by_zone("instancesByZone").items()},
        parent_initial_capacity_share=specifics.number("parentFloor", 1.0),
        parent_slow_start_ms=specifics.number("parentWarmsInMs", 0.0),
        parent_overload_multiple=specifics.number("upperFallMultiple", 2.0),
        purge_propagation_ms=specifics.number("purgeTakesMs", 0.0),
        purge_grace_ms=specifics.number("obeyAfterMs", 0.0),
        transfer_rate_kb_per_ms=specifics.number("oneFlowKbPerS", 0.0) / MS_PER_S,
        may_bypass_caches=specifics.get("mayPassBy", bool, False),
        may_coalesce=specifics.get("collapses", bool, False),
        peer_fill=specifics.choice("siblings", api.PeerFill, "none"),
        fill_reporting=specifics.choice("says", api.FillReporting, "none"),
        hub_by_zone={zone: zones[hub] for zone, hub in hubs.items()},
        link_rate_by_zone_kb_per_ms={
            zone: kb_per_s / MS_PER_S for zone, kb_per_s in links_kb_per_s.items() if kb_per_s > 0
        },
    )


def read_roles(params: SettingsReader) -> dict[str, api.Role]:
    """Return the roles, by machine type, of servers that are not edge cache servers."""
    specifics = params.section("specifics")
    kinds = params.values("machineTypes", str, minimum_count=1)
    roles: dict[str, api.Role] = {}
    for name, role in (("secondTierKind", api.Role.PARENT), ("rootKind", api.Role.ORIGIN)):
        index = specifics.get(name, int, -1)
        if 0 <= index < len(kinds):
            roles[kinds[index]] = role
    return roles


def read_report(values: Mapping[str, float]) -> api.LoadReport:
    """Return a load report from its values by name; missing values are not reported."""
    return api.LoadReport(
        cpu_utilization=values.get("util"), hit_ratio=values.get("x0"), link_utilization=values.get("x1")
    )
