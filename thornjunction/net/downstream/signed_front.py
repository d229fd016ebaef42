"""The signed front: HTTP/1.1 with signed URLs.

A token is verified when its request is completely received.  An admitted request is served to its end even if
the token expires; the next request on the connection needs a token that is valid at that time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace

from thornjunction.core.ports import Answer, Failed, RequestTableFullError
from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.budget import EVICTION_REASON
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection import DownstreamConnection
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.signed_requests import (
    SignedRequestContext,
    VerifiedRequest,
    verify_request,
)
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, DisconnectReason
from thornjunction.net.wire import ProtocolError, http1, signed
from thornjunction.signing import tokens

# Maximum size of one request's body.
MAX_BODY_BYTES = 65_536

# Requests that may wait behind the one that is being answered.
MAX_QUEUED_REQUESTS = 8

# Status of the response to a protocol violation that has no specific status.
BAD_REQUEST = 400

log = get_logger(__name__)


class SignedConnection(DownstreamConnection):
    """One HTTP connection, whose pipelined requests are answered one at a time, in order."""

    kind = ConnectionKind.CLIENT_SIGNED

    def __init__(
        self,
        table: DownstreamTable,
        deadlines: Deadlines,
        clock: Callable[[], float],
        context: SignedRequestContext,
    ) -> None:
        super().__init__(table, deadlines, clock)
        self.context = context
        self._reader = http1.RequestReader(MAX_BODY_BYTES)
        self._queued: deque[http1.HttpRequest] = deque()
        # The request that is being answered, and its number in the core.
        self._current: http1.HttpRequest | None = None
        self._core_number: int | None = None
        # The response that follows those to all earlier requests and ends the connection.
        self._final_response: http1.HttpResponse | None = None

    def has_open_request(self) -> bool:
        """Whether a request has no response yet, or the final response is still to be written."""
        return self._current is not None or bool(self._queued) or self._final_response is not None

    def partial_request_bytes(self) -> int:
        """Return the number of buffered bytes of the partly received request."""
        return self._reader.buffered_bytes

    def open_request_bytes(self) -> int:
        """Return the number of bytes of the queued requests and of the one that is being answered."""
        current_bytes = 0 if self._current is None else self._current.size_bytes
        return current_bytes + sum(request.size_bytes for request in self._queued)

    def receive(self, data: bytes) -> None:
        """Read requests, and dispatch the first one if none is being answered."""
        if not self.state.reads_requests:
            self.discard(data)
            return
        queued_before = len(self._queued)
        self._read(data)
        if self._queued and self._current is None:
            self._read(self.receive_ahead())
        self.overhead.end_overhead()
        has_completed_request = len(self._queued) > queued_before
        self._dispatch_queued()
        self.note_progress(has_completed_request)

    def drop_partial_request(self) -> None:
        """Discard the bytes of the partly received request."""
        self._reader = http1.RequestReader(MAX_BODY_BYTES)

    def answer_open_requests(self) -> None:
        """Answer the request in the core as failed, and reject the queued ones."""
        request = self._current
        self._current = None
        if request is not None:
            self._abandon_current()
            failed = signed.encode_answer(Failed(timed_out=False), request, {})
            self._respond(replace(failed, keep_alive=bool(self._queued)))
        while self._queued:
            self._queued.popleft()
            self._respond(signed.encode_unavailable(0.0, keep_alive=bool(self._queued)))

    def abandon_requests(self) -> None:
        """Discard queued and partly received requests, and abandon the one in the core."""
        self._queued.clear()
        self.drop_partial_request()
        self._current = None
        self._final_response = None
        self._abandon_current()

    def _abandon_current(self) -> None:
        number = self._core_number
        self._core_number = None
        if number is not None:
            self.context.core.abandon(number)

    def _read(self, data: bytes) -> None:
        """Queue the requests; after a protocol violation, end the connection once all are answered."""
        if not self.state.reads_requests:
            return
        try:
            while requests := self._reader.feed(data):
                data = b""
                for request in requests:
                    self._queue(request)
        except ProtocolError as error:
            code = str(error)
            status = http1.STATUS_BY_ERROR_CODE.get(code, BAD_REQUEST)
            self._end_after_responses(http1.HttpResponse(status, {}, b"", False), code)

    def _queue(self, request: http1.HttpRequest) -> None:
        """Queue a request; if there is no room for it, end the connection once the others are answered."""
        if not self.state.reads_requests:
            return
        if len(self._queued) >= MAX_QUEUED_REQUESTS:
            self._refuse_further(DisconnectReason.PIPELINE_TOO_LONG)
        elif not self.buffered.admits_request(self.held_bytes, request.size_bytes):
            self._refuse_further(EVICTION_REASON)
        else:
            self._queued.append(request)
            self.buffered.measure_again(self.held_bytes)

    def _refuse_further(self, reason: str) -> None:
        self._end_after_responses(signed.encode_unavailable(0.0, keep_alive=False), reason)

    def _end_after_responses(self, final_response: http1.HttpResponse, reason: str) -> None:
        """Stop reading, and end the connection with this response after those to all earlier requests."""
        self._final_response = final_response
        self.half_close(reason)

    def _dispatch_queued(self) -> None:
        """Dispatch queued requests until the core does not answer one at once; then the final response."""
        while self._queued and self._current is None and not self.state.has_ended:
            self._dispatch(self._queued.popleft())
        final_response = self._final_response
        if final_response is not None and self._current is None and not self.state.has_ended:
            self._final_response = None
            self._respond(final_response)

    def _dispatch(self, request: http1.HttpRequest) -> None:
        """Answer a request here, or give it to the core."""
        self.overhead.begin_work()
        if self.slot is None:  # over capacity
            self._respond(signed.encode_unavailable(0.0, keep_alive=False))
            return
        # This comes first, because a token may be valid for one request only.
        if not self.buffered.expects_response_room(self.held_bytes, 0):
            self._respond(signed.encode_unavailable(0.0, request.keep_alive))
            return
        try:
            verified = verify_request(request, self.peer_host, self.context)
        except signed.RequestError as error:
            self._reject(error.status, error.code, request.keep_alive)
        except tokens.TokenError as error:
            self._reject(error.status, error.code, request.keep_alive, error.retry_after_s)
        else:
            self._admit(verified)
            return
        self.overhead.end_overhead()

    def _reject(self, status: int, code: str, keep_alive: bool, retry_after_s: float = 0.0) -> None:
        """Answer a request that was not admitted."""
        log.info(LogEvent.REQUEST_REJECTED, slot=self.slot, status=status, code=code)
        self._respond(signed.encode_rejection(status, keep_alive, retry_after_s))

    def _admit(self, verified: VerifiedRequest) -> None:
        """Give a request to the core, which may answer it at once."""
        core = self.context.core
        replay_entry = verified.grant.replay_entry
        if replay_entry is not None and self.context.gossip is not None:
            self.context.gossip.announce(replay_entry)
        self._current = verified.request
        responses_before = self.response_count
        try:
            number = core.open(verified.call, lambda answer: self._reply(verified, answer))
        except RequestTableFullError:
            self._current = None
            self._respond(signed.encode_unavailable(0.0, verified.request.keep_alive))
            return
        if self.state.has_ended:  # before ``open`` returned
            core.abandon(number)
        elif self.response_count == responses_before:  # else answered, and the next may be in the core
            self._core_number = number
        self.overhead.end_request()

    def _reply(self, verified: VerifiedRequest, answer: Answer) -> Answer:
        """Write the core's answer, and dispatch the next requests; return the answer written.

        Content that has no room in memory, because the client reads slowly, is replaced by a failure.
        """
        if self.state.has_ended:  # before the core answered
            return answer
        self._current = None
        self._core_number = None
        response = signed.encode_answer(answer, verified.request, self._renewal_headers(verified))
        if not self.buffered.admits_response(self.held_bytes, len(response.body)):
            answer = Failed(timed_out=False)
            response = signed.encode_answer(answer, verified.request, {})
        self._respond(response)
        self._dispatch_queued()
        return answer

    def _renewal_headers(self, verified: VerifiedRequest) -> dict[str, str]:
        """Return the header that sets a cookie with a new token, if the grant asks for renewal."""
        grant = verified.grant
        if not grant.renewal_s:
            return {}
        token = tokens.renew(self.context.trust, grant, self.context.unix_s())
        cookie = signed.renewal_cookie(token, verified.target, grant.renewal_depth, grant.renewal_s)
        return {"Set-Cookie": cookie}

    def _respond(self, response: http1.HttpResponse) -> None:
        """Write a response, and close the connection if it is the last one."""
        self.write(http1.encode_response(response))
        if response.keep_alive:
            self.note_progress()
        else:
            self.close_lingering(self._planned_end_reason or DisconnectReason.NO_KEEP_ALIVE)
