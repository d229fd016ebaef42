"""The platform's front: FastCGI connections with multiplexed requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from thornjunction.core.ports import Answer, Failed, Rejected, RequestTableFullError
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection import DownstreamConnection
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.ports import RequestCore
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, DisconnectReason
from thornjunction.net.wire import ProtocolError, cgi, fastcgi

# Consecutive malformed requests after which a connection is closed.
MAX_MALFORMED_REQUESTS = 16

# Messages that the reader returns for a complete request.
COMPLETE_REQUESTS = (fastcgi.Request, fastcgi.RequestDeclined)


@dataclass(frozen=True, slots=True)
class FastCgiRequestContext:
    """The surroundings that all connections of this front share.

    Attributes:
        core: takes the requests.
        is_ready: returns the answer to the platform's health check.
        refusal: returns the response for a request of this client if it is refused; empty if it is admitted.
        count_refused: counts, by its class, a request that was answered without the core.
        read_delay_ms: returns how long requests may have waited on their sockets for the event loop.
        knows_class: returns whether the settings have a class of this name.
    """

    core: RequestCore
    is_ready: Callable[[], bool]
    refusal: Callable[[Hashable], bytes]
    count_refused: Callable[[str, Answer], None]
    read_delay_ms: Callable[[], float]
    knows_class: Callable[[str], bool]


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits to be given to the core."""

    request: fastcgi.Request
    queued_at_ms: float


@dataclass(slots=True)
class AdmittedRequest:
    """A request that was given to the core.

    Attributes:
        keep_alive: whether the connection stays open after the response.
        size_bytes: number of bytes that it occupies.
        core_number: its number in the core; None until the core's ``open`` has returned.
    """

    keep_alive: bool
    size_bytes: int
    core_number: int | None = None


class FastCgiConnection(DownstreamConnection):
    """A connection of one of the platform's web servers."""

    kind = ConnectionKind.CLIENT_FASTCGI

    def __init__(
        self,
        table: DownstreamTable,
        deadlines: Deadlines,
        clock: Callable[[], float],
        context: FastCgiRequestContext,
    ) -> None:
        super().__init__(table, deadlines, clock)
        self.context = context
        self._reader = fastcgi.RequestReader(cgi.PARAMETER_NAMES)
        self._queued: deque[QueuedRequest] = deque()
        self._admitted: dict[int, AdmittedRequest] = {}
        self._consecutive_malformed = 0
        # True while requests that arrived together are read; only after all of them may the connection end.
        self._is_reading = False

    def has_open_request(self) -> bool:
        """Whether a request is queued or in the core."""
        return bool(self._admitted or self._queued)

    def partial_request_bytes(self) -> int:
        """Return the number of buffered bytes of partly received requests."""
        return self._reader.buffered_bytes

    def open_request_bytes(self) -> int:
        """Return the number of bytes of the requests that are queued or in the core."""
        admitted_bytes = sum(admitted.size_bytes for admitted in self._admitted.values())
        return admitted_bytes + sum(queued.request.size_bytes for queued in self._queued)

    def receive(self, data: bytes) -> None:
        """Read requests, and have the scheduler dispatch them."""
        if not self.state.reads_requests:
            self.discard(data)
            return
        self._read(data)
        self.overhead.end_overhead()
        if self._queued:
            self.table.scheduler.submit(self)

    def queue_pending_input(self) -> None:
        """Read the bytes that arrived since the event loop last read, and queue their requests."""
        data = self.receive_ahead()
        if data and self.state.reads_requests:
            self.overhead.begin_work()
            self._read(data)
            self.overhead.end_overhead()

    def dispatch_next(self) -> bool:
        """Give the next queued request to the core; return whether more are queued."""
        if self._queued:
            queued = self._queued.popleft()
            self.overhead.begin_work()
            self._dispatch(queued.request, self.clock() - queued.queued_at_ms)
        return bool(self._queued)

    def queued_since_ms(self) -> float:
        """Return when the oldest queued request was queued, on the core's clock."""
        return self._queued[0].queued_at_ms if self._queued else self.clock()

    def drop_partial_request(self) -> None:
        """Discard the bytes of partly received requests."""
        self._reader = fastcgi.RequestReader(cgi.PARAMETER_NAMES)

    def answer_open_requests(self) -> None:
        """Reject the queued requests, and answer those in the core as failed."""
        failed = cgi.encode_response(Failed(timed_out=False))
        while self._queued:
            self._reject_overloaded(self._queued.popleft().request)
        while self._admitted:
            request_id, admitted = self._admitted.popitem()
            if admitted.core_number is not None:
                self.context.core.abandon(admitted.core_number)
            self._write_end(fastcgi.encode_answer(request_id, failed), admitted.keep_alive)

    def abandon_requests(self) -> None:
        """Discard queued and partly received requests, and abandon those in the core."""
        self.table.scheduler.remove(self)
        self._queued.clear()
        self.drop_partial_request()
        abandoned = self._admitted
        self._admitted = {}
        for admitted in abandoned.values():
            if admitted.core_number is not None:
                self.context.core.abandon(admitted.core_number)

    def _read(self, data: bytes) -> None:
        """Read all messages, then update the connection once."""
        has_completed_request = False
        violation = ""
        self._is_reading = True
        try:
            while messages := self._reader.feed(data):
                data = b""
                for message in messages:
                    self._handle(message)
                    has_completed_request = has_completed_request or isinstance(message, COMPLETE_REQUESTS)
        except ProtocolError as error:
            violation = str(error)
        self._is_reading = False
        if violation:
            self.half_close(violation)
            self.note_progress()
        else:
            self.note_progress(has_completed_request)

    def _handle(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.Request() if self._is_full(message.size_bytes):
                self._reject_overloaded(message)
            case fastcgi.Request():
                self._queued.append(QueuedRequest(message, self.clock()))
                self.buffered.measure_again(self.held_bytes)
            case fastcgi.RequestAborted(request_id):
                self._abort_request(request_id)
            case fastcgi.RequestDeclined(request_id, protocol_status, keep_alive):
                self._write_end(fastcgi.encode_end(request_id, protocol_status), keep_alive)
            case fastcgi.ManagementReply(reply):
                self.transport.write(reply)

    def _is_full(self, request_bytes: int) -> bool:
        """Whether a further request is rejected: over capacity, too many are open, or there is no memory."""
        if self.slot is None or len(self._admitted) + len(self._queued) >= fastcgi.MAX_OPEN_REQUESTS:
            return True
        return not self.buffered.admits_request(self.held_bytes, request_bytes)

    def _abort_request(self, request_id: int) -> None:
        """Remove a request that the web server has aborted."""
        self._queued = deque(queued for queued in self._queued if queued.request.request_id != request_id)
        admitted = self._admitted.pop(request_id, None)
        if admitted is not None and admitted.core_number is not None:
            self.context.core.abandon(admitted.core_number)

    def _dispatch(self, request: fastcgi.Request, waited_ms: float) -> None:
        """Answer a request here, or give it to the core."""
        if request.request_id in self._admitted:  # two responses with one id can't be told apart
            self.half_close(DisconnectReason.DUPLICATE_REQUEST_ID)
            self.note_progress()
            return
        if request.params.get("SCRIPT_NAME") == cgi.HEALTH_CHECK_PATH:
            self._respond(request, cgi.READY if self.context.is_ready() else cgi.NOT_READY)
            self.overhead.end_overhead()
            return
        refusal = self.context.refusal(self.client_id)
        if refusal:
            self._count_refused(request, Rejected(0.0))
            self._respond(request, refusal)
            return
        if not self.buffered.expects_response_room(self.held_bytes, len(self._admitted)):
            self._reject_overloaded(request)
            return
        self._admit(request, waited_ms)

    def _admit(self, request: fastcgi.Request, waited_ms: float) -> None:
        """Give a request to the core, which may answer it at once."""
        delay_ms = max(self.context.read_delay_ms(), waited_ms)
        try:
            call = cgi.decode_request(request.params, request.body, delay_ms)
        except ProtocolError:
            self._reject_malformed(request)
            self.overhead.end_overhead()
            return
        self._consecutive_malformed = 0
        request_id = request.request_id
        admitted = AdmittedRequest(request.keep_alive, request.size_bytes)
        self._admitted[request_id] = admitted
        try:
            number = self.context.core.open(call, lambda answer: self._reply(request_id, admitted, answer))
        except RequestTableFullError:
            if self._admitted.pop(request_id, None) is admitted:
                self._reject_overloaded(request)
            return
        if self._admitted.get(request_id) is admitted:
            admitted.core_number = number
        else:  # answered, or the connection ended, before ``open`` returned
            self.context.core.abandon(number)
        if self.context.knows_class(call.class_name):
            self.overhead.end_request()
        else:
            self.overhead.end_overhead()

    def _reply(self, request_id: int, admitted: AdmittedRequest, answer: Answer) -> Answer:
        """Write the core's answer, unless the request was aborted or abandoned; return the answer written.

        Content that has no room in memory, because the client reads slowly, is replaced by a failure.
        """
        if self._admitted.get(request_id) is not admitted:
            return answer
        del self._admitted[request_id]
        response = cgi.encode_response(answer)
        if not self.buffered.admits_response(self.held_bytes, len(response)):
            answer = Failed(timed_out=False)
            response = cgi.encode_response(answer)
        self._write_end(fastcgi.encode_answer(request_id, response), admitted.keep_alive)
        return answer

    def _reject_overloaded(self, request: fastcgi.Request) -> None:
        """Reject a request for which there is no capacity, here or in the core."""
        self._count_refused(request, Rejected(0.0))
        end = fastcgi.encode_end(request.request_id, fastcgi.ProtocolStatus.OVERLOADED)
        self._write_end(end, request.keep_alive)

    def _reject_malformed(self, request: fastcgi.Request) -> None:
        """Reject a malformed request; close the connection of a client that keeps sending them.

        While its input is postponed it stays open, as the client could connect anew at once.
        """
        self._count_refused(request, Failed(timed_out=False))
        self._consecutive_malformed += 1
        self._respond(request, cgi.BAD_REQUEST)
        may_end = not (self.has_open_request() or self.state.has_ended or self.is_input_postponed)
        if may_end and self._consecutive_malformed >= MAX_MALFORMED_REQUESTS:
            self.close_lingering(DisconnectReason.MALFORMED_REQUESTS)

    def _count_refused(self, request: fastcgi.Request, answer: Answer) -> None:
        """Count a request that never reached the core, which counts all others."""
        class_name = request.params.get("SCRIPT_NAME", "").removeprefix(cgi.REQUEST_PREFIX)
        self.context.count_refused(class_name, answer)

    def _respond(self, request: fastcgi.Request, response: bytes) -> None:
        """Answer a request that is not in the core."""
        self._write_end(fastcgi.encode_answer(request.request_id, response), request.keep_alive)

    def _write_end(self, data: bytes, keep_alive: bool) -> None:
        self.write(data)
        if not keep_alive:
            self.plan_end(DisconnectReason.NO_KEEP_CONN)
        if not self._is_reading:
            self.note_progress()
