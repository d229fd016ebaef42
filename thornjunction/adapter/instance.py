"""A router of the simulation: its settings, and the conversion of its messages to events."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.adapter.errors import InvalidReportError
from thornjunction.adapter.messages import (
    Fields,
    Message,
    optional,
    parse_fill_result,
    parse_flag,
    parse_integer,
    required,
)
from thornjunction.policy.router import Router
from thornjunction.settings import SettingsReader, parse_json, read_report, read_roles, read_settings

# Statuses of attempts and health checks by the wire's field ``status``.
STATUSES = {
    "done": api.AttemptStatus.SUCCEEDED,
    "err": api.AttemptStatus.ERROR,
    "busy": api.AttemptStatus.OVERLOADED,
    "etimedout": api.AttemptStatus.TIMEOUT,
    "econnrefused": api.AttemptStatus.CONNECTION_REFUSED,
    "econnreset": api.AttemptStatus.CONNECTION_RESET,
    "ecanceled": api.AttemptStatus.CANCELLED,
    "skipped": api.AttemptStatus.NOT_STARTED,
    "enoent": api.AttemptStatus.CACHE_MISS,
}

# States of servers by the wire's field ``status``.
STATES = {
    "SERVING": api.ServerState.SERVING,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.REMOVED,
}


class Instance:
    """One router, with the names of machine types and report columns in its messages.

    Args:
        fields: fields of the message that starts it.

    Raises:
        WireError: a setting is missing or invalid.
    """

    def __init__(self, fields: Fields) -> None:
        params = SettingsReader(parse_json(required(fields, "params", str)))
        self._roles = read_roles(params)
        report = params.section("report") if "report" in params.data else SettingsReader({"columns": []})
        self._report_columns: list[str] = report.get("columns", list, [])
        self.router = Router(read_settings(params), optional(fields, "randomSeed", int, 0))

    def _load_report(self, text: str) -> api.LoadReport:
        """Parse a load report, whose columns the settings name."""
        try:
            values = dict(zip(self._report_columns, map(float, text.split(",")), strict=False))
        except ValueError as error:
            raise InvalidReportError(text) from error
        return read_report(values)

    def server_entry(self, fields: Fields) -> api.ServerEntry:
        """Read one entry of a list of servers.

        Raises:
            WireError: a field is missing or invalid.
        """
        return api.ServerEntry(
            server=required(fields, "cache", str),
            role=self._roles.get(optional(fields, "model", str, ""), api.Role.EDGE),
            zone=optional(fields, "dc", str, ""),
            state=required(fields, "status", STATES.__getitem__),
            weight=optional(fields, "weight", float, 1.0),
            cell=optional(fields, "stripe", int, 0),
            started_ms=optional(fields, "bootTimeMs", float, 0.0),
        )

    def event(self, message: Message) -> api.Event | None:
        """Return the router's event for a message; None if the message's name is not known.

        Raises:
            WireError: a field is missing or invalid.
        """
        fields = message.fields
        match message.name:
            case "REQ":
                return _request(fields)
            case "VERDICT":
                return self._outcome(fields)
            case "TIMED_OUT_CLIENT":
                return api.ClientDisconnected(required(fields, "requestId", str))
            case "FIRED":
                return api.TimerFired(required(fields, "cookie", int))
            case "STRUCK_OUT":
                return _purge(fields)
            case "PROBED":
                return self._probe_result(fields)
        return None

    def _outcome(self, fields: Fields) -> api.AttemptEnded:
        return api.AttemptEnded(
            request_id=required(fields, "requestId", str),
            attempt_number=optional(fields, "roundNo", int, 0),
            server=optional(fields, "cache", str, ""),
            status=required(fields, "status", STATUSES.__getitem__),
            elapsed_ms=optional(fields, "waitTimeMs", float, 0.0),
            fill_result=optional(fields, "detail", parse_fill_result, api.FillResult.NONE),
            fill_first_byte_ms=optional(fields, "sourceWaitMs", float, None),
            final=optional(fields, "terminal", parse_flag, False),
            report=optional(fields, "report", self._load_report, None),
        )

    def _probe_result(self, fields: Fields) -> api.HealthCheckEnded:
        return api.HealthCheckEnded(
            server=required(fields, "cache", str),
            status=required(fields, "status", STATUSES.__getitem__),
            elapsed_ms=optional(fields, "waitTimeMs", float, 0.0),
            report=optional(fields, "report", self._load_report, None),
        )


def _request(fields: Fields) -> api.Request:
    return api.Request(
        request_id=required(fields, "requestId", str),
        class_name=required(fields, "kind", str),
        key=optional(fields, "key", int, 0),
        remaining_ms=required(fields, "graceMs", float),
        part=optional(fields, "chunk", parse_integer, 0),
        group=optional(fields, "batchId", parse_integer, 0),
        size_kb=optional(fields, "sizeKb", float, 0.0),
    )


def _purge(fields: Fields) -> api.PurgeReceived:
    return api.PurgeReceived(
        group=optional(fields, "bucket", parse_integer, 0),
        age_ms=optional(fields, "ageSpanMs", float, 0.0),
        key=optional(fields, "key", int, None),
    )
