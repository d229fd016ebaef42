"""The second front: HTTP/1.1 with signed URLs.  A token is checked when its request has come whole; what it
admitted runs to its end, and the next request on the connection needs a token that holds then."""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from thornjunction import interface as api
from thornjunction.core.ports import Answer, Failed, RequestTableFullError
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection import DownstreamConnection, DownstreamTable
from thornjunction.net.downstream.fastcgi_front import Core
from thornjunction.net.gossip.replay_gossip import ReplayGossip
from thornjunction.net.wire import ProtocolError, http1, signed
from thornjunction.signing import tokens
from thornjunction.signing.address import Forwarding, client_address
from thornjunction.signing.replay import ReplayWindow

MAX_BODY, MAX_WAITING = 65_536, 8  # bytes of a request; requests behind the one that is being answered

log = get_logger(__name__)


@dataclass(slots=True)
class SignedRequestContext:
    """What all connections of this front share; ``trust`` is replaced whole when the keys change."""

    core: Core
    classes: Mapping[str, api.RequestClass]
    base: str  # scheme and authority that the signed URIs begin with
    trust: tokens.Trust
    replays: ReplayWindow
    unix_s: Callable[[], float]
    forwarding: Forwarding = Forwarding()
    gossip: ReplayGossip | None = None  # peers told of each jti taken here


class SignedConnection(DownstreamConnection):
    """One HTTP connection: one request at a time, the next ones wait in order."""

    kind = "signed"

    def __init__(
        self,
        table: DownstreamTable,
        deadlines: Deadlines,
        clock: Callable[[], float],
        door: SignedRequestContext,
    ) -> None:
        super().__init__(table, deadlines, clock)
        self.door = door
        self.reader = http1.RequestReader(MAX_BODY)
        self.waiting: deque[http1.HttpRequest] = deque()
        self.serving: http1.HttpRequest | None = None  # is being answered
        self.last_words: http1.HttpResponse | None = None  # behind all answers
        self.number: int | None = None  # in the core

    @property
    def peer(self) -> str:
        """The connection's far address, as text; empty before it is connected."""
        get = getattr(self.transport, "getPeer", None)
        return str(getattr(get(), "host", "")) if get is not None else ""

    def is_open(self) -> bool:
        return self.serving is not None or bool(self.waiting) or self.last_words is not None

    def held(self) -> int:
        return self.reader.held

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code or self.deaf:
            return self.pass_over(data)
        before = len(self.waiting)
        self._read(data)
        if self.waiting and self.serving is None:
            self._read(self.read_on())
        whole = len(self.waiting) > before
        self._next()
        self.turned(whole)

    def _read(self, data: bytes) -> None:
        if self.code or self.deaf:
            return
        try:
            while requests := self.reader.feed(data):
                self.waiting.extend(requests)
                data = b""
        except ProtocolError as error:
            status = http1.STATUS_OF.get(str(error), 400)
            return self._end_behind(http1.HttpResponse(status, {}, b"", False), str(error))
        if len(self.waiting) > MAX_WAITING:
            while len(self.waiting) > MAX_WAITING:
                self.waiting.pop()
            self._end_behind(signed.encode_unavailable(0.0, keep_alive=False), "pipeline")

    def _end_behind(self, last_words: http1.HttpResponse, code: str) -> None:
        """The first thing that is wrong ends the connection, with an answer of its own behind those that are
        owed to earlier requests."""
        self.last_words, self.ending, self.deaf = last_words, code, True
        self.drop_part()

    def drop_part(self) -> None:
        self.reader = http1.RequestReader(MAX_BODY)

    def answer_open(self) -> None:
        request, self.serving = self.serving, None
        if request is not None:
            self._abandon()
            failed = signed.encode_answer(Failed(timed_out=False), request, {})
            self._write(replace(failed, keep_alive=bool(self.waiting)))
        while self.waiting:
            self.waiting.popleft()
            self._write(signed.encode_unavailable(0.0, keep_alive=bool(self.waiting)))

    def forget(self) -> None:
        self.waiting.clear()
        self.drop_part()
        self.serving = self.last_words = None
        self._abandon()

    def _abandon(self) -> None:
        number, self.number = self.number, None
        if number is not None:
            self.door.core.abandon(number)

    def _next(self) -> None:
        while self.waiting and self.serving is None and not self.code:
            self._ask(self.waiting.popleft())
        last_words = self.last_words
        if last_words is not None and self.serving is None and not self.code:
            self.last_words = None
            self._write(last_words)

    def _ask(self, request: http1.HttpRequest) -> None:
        if self.refuses:
            return self._write(signed.encode_unavailable(0.0, keep_alive=False))
        try:
            target, token = signed.split_token(request)
            door, now = self.door, self.door.unix_s()
            client = client_address(self.peer, request.headers, door.forwarding)
            grant = tokens.verify(token, door.base + target, door.trust, door.replays, now, client)
            call = signed.decode_request(request, target, secrets.token_hex(8), door.classes)
        except signed.RequestError as error:
            log.info("rejected", slot=self.slot, status=error.status, code=error.code)
            return self._write(signed.encode_rejection(error.status, request.keep_alive))
        except tokens.TokenError as error:
            log.info("rejected", slot=self.slot, status=error.status, code=error.code)
            return self._write(signed.encode_rejection(error.status, request.keep_alive, error.retry_after_s))
        if grant.replay_entry is not None and self.door.gossip is not None:
            self.door.gossip.announce(grant.replay_entry)
        self.serving, answered = request, self.answered
        try:
            number = self.door.core.open(call, lambda answer: self._reply(request, target, grant, answer))
        except RequestTableFullError:
            self.serving = None
            return self._write(http1.HttpResponse(503, {"Retry-After": "1"}, b"", request.keep_alive))
        if self.code:  # its connection ended while the core decided
            self.door.core.abandon(number)
        elif self.answered == answered:  # else it was answered at once, and the next one may be in the core
            self.number = number

    def _reply(self, request: http1.HttpRequest, target: str, grant: tokens.Grant, answer: Answer) -> None:
        if self.code:  # the client left while the core decided
            return
        self.serving = self.number = None
        self._write(signed.encode_answer(answer, request, self._renewal(target, grant)))
        self._next()

    def _renewal(self, target: str, grant: tokens.Grant) -> dict[str, str]:
        if not grant.renewal_s:
            return {}
        token = tokens.renew(self.door.trust, grant, self.door.unix_s())
        return {"Set-Cookie": signed.renewal_cookie(token, target, grant.renewal_depth, grant.renewal_s)}

    def _write(self, response: http1.HttpResponse) -> None:
        self.write(http1.encode_response(response))
        if response.keep_alive:
            self.turned()
        else:
            self.finish(self.ending or "no-keep-alive")
