"""The second front: HTTP/1.1 with signed URLs.  A token is checked when its request has come whole; what it
admitted runs to its end, and the next request on the connection needs a token that holds then."""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.core.ports import Answer, RequestTableFullError
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.client_link import ClientLink, ClientTable
from thornjunction.net.front_fastcgi import Core
from thornjunction.net.gossip import Gossip
from thornjunction.net.wire import ProtocolError, http1, signed
from thornjunction.signing import tokens
from thornjunction.signing.address import Forwarding, client_of
from thornjunction.signing.replay import ReplayWindow

MAX_BODY, MAX_WAITING = 65_536, 8  # bytes of a request; requests behind the one that is being answered

log = get_logger(__name__)


@dataclass(slots=True)
class Door:
    """What all connections of this front share; ``trust`` is replaced whole when the keys change."""

    core: Core
    classes: Mapping[str, api.RequestClass]
    base: str  # scheme and authority that the signed URIs begin with
    trust: tokens.Trust
    replays: ReplayWindow
    unix_s: Callable[[], float]
    forwarding: Forwarding = Forwarding()
    gossip: Gossip | None = None  # peers told of each jti taken here


class SignedLink(ClientLink):
    """One HTTP connection: one request at a time, the next ones wait in order."""

    kind = "signed"

    def __init__(
        self, table: ClientTable, deadlines: Deadlines, clock: Callable[[], float], door: Door
    ) -> None:
        super().__init__(table, deadlines, clock)
        self.door = door
        self.reader = http1.RequestReader(MAX_BODY)
        self.waiting: deque[http1.HttpRequest] = deque()
        self.serving = False  # a request is being answered
        self.number: int | None = None  # in the core

    @property
    def peer(self) -> str:
        """The connection's far address, as text; empty before it is connected."""
        get = getattr(self.transport, "getPeer", None)
        return str(getattr(get(), "host", "")) if get is not None else ""

    def is_open(self) -> bool:
        return self.serving

    def held(self) -> int:
        return self.reader.held

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code:
            return self.pass_over(data)
        before = len(self.waiting)
        self._read(data)
        if self.waiting and not self.serving:
            self._read(self.read_on())
        whole = len(self.waiting) > before
        self._next()
        self.turned(whole)

    def _read(self, data: bytes) -> None:
        if self.code:
            return
        try:
            self.waiting.extend(self.reader.feed(data))
        except ProtocolError as error:
            return self._malformed(str(error))
        if len(self.waiting) > MAX_WAITING:
            self.finish("pipeline")

    def forget(self) -> None:
        self.waiting.clear()
        self.reader = http1.RequestReader(MAX_BODY)
        number, self.number, self.serving = self.number, None, False
        if number is not None:
            self.door.core.abandon(number)

    def _malformed(self, code: str) -> None:
        """The first thing that is wrong ends the connection; an answer that is owed to an earlier request
        is not given a second one in its place."""
        if self.serving:
            return self.finish(code)
        self._write(http1.HttpResponse(http1.STATUS_OF.get(code, 400), {}, b"", False))
        self.code = code

    def _next(self) -> None:
        while self.waiting and not self.serving and not self.code:
            self._ask(self.waiting.popleft())

    def _ask(self, request: http1.HttpRequest) -> None:
        try:
            target, token = signed.split_token(request)
            door, now = self.door, self.door.unix_s()
            client = client_of(self.peer, request.headers, door.forwarding)
            grant = tokens.verify(token, door.base + target, door.trust, door.replays, now, client)
            call = signed.decode_call(request, target, secrets.token_hex(8), door.classes)
        except signed.MisuseError as error:
            log.info("rejected", slot=self.slot, status=error.status, code=error.code)
            return self._write(signed.encode_misused(error.status, request.keep))
        except tokens.TokenError as error:
            log.info("rejected", slot=self.slot, status=error.status, code=error.code)
            return self._write(signed.encode_misused(error.status, request.keep, error.retry_after_s))
        if grant.taken is not None and self.door.gossip is not None:
            self.door.gossip.tell(*grant.taken)
        self.serving, answered = True, self.answered
        try:
            number = self.door.core.open(call, lambda answer: self._reply(request, target, grant, answer))
        except RequestTableFullError:
            self.serving = False
            return self._write(http1.HttpResponse(503, {"Retry-After": "1"}, b"", request.keep))
        if self.code:  # its connection ended while the core decided
            self.door.core.abandon(number)
        elif self.answered == answered:  # else it was answered at once, and the next one may be in the core
            self.number = number

    def _reply(self, request: http1.HttpRequest, target: str, grant: tokens.Grant, answer: Answer) -> None:
        if self.code:  # the client left while the core decided
            return
        self.serving, self.number = False, None
        self._write(signed.encode_answer(answer, request, self._renewal(target, grant)))
        self._next()

    def _renewal(self, target: str, grant: tokens.Grant) -> dict[str, str]:
        if not grant.renew_s:
            return {}
        token = tokens.renew(self.door.trust, grant, self.door.unix_s())
        return {"Set-Cookie": signed.cookie_for(token, target, grant.depth, grant.renew_s)}

    def _write(self, response: http1.HttpResponse) -> None:
        self.write(http1.encode_response(response))
        if response.keep:
            self.turned()
        else:
            self.finish("no-keep-alive")
