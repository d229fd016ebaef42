"""Outcomes of attempts and health checks: the mapping of responses to statuses, and reports to the engine.

If no connection was established, the attempt was not executed; if a connection broke, it may have been.  If
there is a response, its code tells whether the attempt was executed.
"""

from __future__ import annotations

from typing import Protocol

from thornjunction import interface as api
from thornjunction.core.ports import Content, UpstreamRequest
from thornjunction.net.upstream.context import PoolContext
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.wire.upstream import ResponseCode, UpstreamResponse, decode_report
from thornjunction.settings import read_report

# Response field with the server's load report.
LOAD_REPORT_FIELD = "report"

# Response field with the entity tag of the content.
ENTITY_TAG_FIELD = "rev"

STATUS_BY_CODE = {
    ResponseCode.DONE: api.AttemptStatus.SUCCEEDED,
    ResponseCode.KEEP: api.AttemptStatus.SUCCEEDED,
    ResponseCode.LACK: api.AttemptStatus.CACHE_MISS,
    ResponseCode.WAIT: api.AttemptStatus.OVERLOADED,
    ResponseCode.BROKE: api.AttemptStatus.ERROR,
    ResponseCode.PAST: api.AttemptStatus.NOT_STARTED,
}


class OutcomeListener(Protocol):
    """Receives the outcome of each attempt and each health check; implemented by the engine."""

    def attempt_ended(
        self,
        number: int,
        status: api.AttemptStatus,
        content: Content | None = None,
        report: api.LoadReport | None = None,
    ) -> None:
        """Handle the outcome of an attempt; ``content`` is set if it succeeded."""

    def probe_ended(
        self, server: str, status: api.AttemptStatus, took_ms: float, report: api.LoadReport | None
    ) -> None:
        """Handle the outcome of a health check, which took ``took_ms`` since the pool accepted it."""


def read_load_report(response: UpstreamResponse) -> api.LoadReport | None:
    """Return the load report in a response; None if there is none."""
    text = response.fields.get(LOAD_REPORT_FIELD)
    return read_report(decode_report(text)) if text else None


def read_content(response: UpstreamResponse, attempt: UpstreamRequest) -> Content | None:
    """Return the content of a successful response; None if it confirms a copy that the client does not have.

    Guards against answering "not modified" to a client that has no copy, or one with a different entity tag.
    """
    not_modified = response.code is ResponseCode.KEEP
    etag = response.fields.get(ENTITY_TAG_FIELD, "")
    if not_modified:
        client_etag = attempt.client_request.if_none_match
        if not client_etag or etag != client_etag:
            return None
    return Content(response.body, etag, not_modified)


class OutcomeReporter:
    """Keeps the attempts that have no outcome yet, and reports each outcome to the listener once.

    Attributes:
        listener: receives the outcomes.
    """

    listener: OutcomeListener

    def __init__(self, context: PoolContext) -> None:
        self._context = context
        self._open_attempts: dict[int, Stream] = {}

    def add_attempt(self, number: int, stream: Stream) -> None:
        """Register an attempt that was dispatched to a server."""
        self._open_attempts[number] = stream

    def find_attempt(self, number: int) -> Stream | None:
        """Return a registered attempt that has no outcome yet; None if there is none of this number."""
        return self._open_attempts.get(number)

    def remove_attempt(self, number: int) -> None:
        """Remove an attempt that was withdrawn or cancelled."""
        self._open_attempts.pop(number, None)

    def report_response(self, stream: Stream, response: UpstreamResponse) -> None:
        """Report the outcome that a response indicates."""
        load_report = read_load_report(response)
        attempt = stream.attempt
        if attempt is None:
            is_fit = response.code is ResponseCode.FIT
            status = api.AttemptStatus.SUCCEEDED if is_fit else api.AttemptStatus.ERROR
            self.report(stream, status, None, load_report)
            return
        status = STATUS_BY_CODE.get(response.code, api.AttemptStatus.ERROR)
        content = None
        if status is api.AttemptStatus.SUCCEEDED:
            content = read_content(response, attempt)
            if content is None:
                status = api.AttemptStatus.ERROR
        self.report(stream, status, content, load_report)

    def report(
        self,
        stream: Stream,
        status: api.AttemptStatus,
        content: Content | None = None,
        load_report: api.LoadReport | None = None,
    ) -> None:
        """Report the outcome of a stream, and cancel its deadlines."""
        deadlines = self._context.deadlines
        deadlines.cancel(stream.start_deadline)
        if stream.attempt is not None:
            number = stream.attempt.number
            self._open_attempts.pop(number, None)
            self.listener.attempt_ended(number, status, content, load_report)
            return
        deadlines.cancel(stream.timeout)
        took_ms = self._context.clock() - stream.accepted_ms
        self.listener.probe_ended(stream.server, status, took_ms, load_report)
