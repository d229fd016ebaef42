"""The pool of connections to shelfs, parents and the origin.

Maps every end of an attempt exactly: a connection that never came up proves that nothing ran, one that broke
does not, and an answer says it by its word.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any
from typing import Protocol as Port

from thornjunction import interface as api
from thornjunction.core.ports import Content, UpstreamRequest
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, log_disconnect
from thornjunction.net.upstream.connect_attempt import ConnectAttempt, ConnectTarget
from thornjunction.net.upstream.connect_errors import ConnectFailure
from thornjunction.net.upstream.connection import Limits, Sent, UpstreamConnection
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.wire import upstream
from thornjunction.net.wire.commands import Host
from thornjunction.settings import read_report

PREFERRED, NEEDED, AT_MOST = 4, 8, 10  # connections to one shelf: opened beside others with room; where
# none has room (32 streams each, and a large box's share at the peak is over 128); with those under suspicion
CROWDED = 2  # out on the least used connection, past which another is opened beside it
LEAST_LEFT_MS = 5.0  # of its client's time: an attempt with less is not begun
WAITING = 256  # attempts that may wait for one dial

__all__ = ["Limits", "ConnectionPool"]

STATUSES = {
    upstream.ResponseCode.DONE: api.AttemptStatus.SUCCEEDED,
    upstream.ResponseCode.KEEP: api.AttemptStatus.SUCCEEDED,
    upstream.ResponseCode.LACK: api.AttemptStatus.CACHE_MISS,
    upstream.ResponseCode.WAIT: api.AttemptStatus.OVERLOADED,
    upstream.ResponseCode.BROKE: api.AttemptStatus.ERROR,
    upstream.ResponseCode.PAST: api.AttemptStatus.NOT_STARTED,
}


class Ends(Port):
    """Where ends are reported: the engine."""

    def attempt_ended(
        self,
        number: int,
        status: api.AttemptStatus,
        content: Content | None = None,
        report: api.LoadReport | None = None,
    ) -> None: ...

    def probe_ended(
        self, server: str, status: api.AttemptStatus, took_ms: float, report: api.LoadReport | None
    ) -> None: ...


@dataclass(slots=True, eq=False)
class Shelf:
    """One server of the list and the ways to it."""

    host: Host
    on_called_off: Callable[[], None]
    links: list[UpstreamConnection] = field(default_factory=list)
    waiting: dict[str, Sent] = field(default_factory=dict)  # for the dial, by ident
    dial: ConnectAttempt | None = None
    untold: float = -math.inf  # when a dial failed last of which nobody was told

    def way(self, ident: str) -> UpstreamConnection | None:
        """The least used that has room: a spoilt answer ends all that is out on its connection."""
        return min(
            (link for link in self.links if link.has_room(ident)), key=UpstreamConnection.load, default=None
        )

    def trusted(self) -> list[UpstreamConnection]:
        return [link for link in self.links if not link.suspect and not link.code]

    def clear(self) -> list[tuple[str, Sent]]:
        """Nothing waits here any more; what did, with the shelf's name."""
        waiting, self.waiting = self.waiting, {}
        return [(self.host.name, sent) for sent in waiting.values()]

    def call_off(self) -> list[tuple[str, Sent]]:
        """End the dial, and the wait for it; what waited.  The pool is told by ``on_called_off``."""
        dialling, self.dial = self.dial, None
        if dialling is not None:
            dialling.cancel()
            self.on_called_off()
        return self.clear()

    def retire(self) -> list[tuple[str, Sent]]:
        """No new work on its connections; what waited for one."""
        for link in list(self.links):
            link.retire()
        return self.call_off()


class ConnectionPool:
    """Sends attempts and probes, and reports each end to the engine once."""

    ends: Ends

    def __init__(
        self,
        reactor: Any,
        limits: Limits,
        deadlines: Deadlines,
        clock: Callable[[], float],
        budget: ByteBudget,
    ) -> None:
        self.reactor, self.limits, self.deadlines, self.clock = reactor, limits, deadlines, clock
        self.budget = budget
        self.links: ConnectionTable[UpstreamConnection] = ConnectionTable(limits.connections)
        self.shelves: dict[str, Shelf] = {}
        self._where: dict[int, tuple[Shelf, str]] = {}  # by attempt: the shelf and the ident there
        self._probes = 0
        self.relayed = 0  # attempts written whole, since the start

    def update(self, hosts: tuple[Host, ...], whole: bool) -> None:
        """Take in a change of the list.  A shelf at a new address, or a new process, gets new connections;
        one that drains or is gone gets nothing more, and what waits for a dial there never begins."""
        over: list[tuple[str, Sent]] = []
        if whole:
            for name in set(self.shelves) - {host.name for host in hosts}:
                over += self.shelves.pop(name).retire()
        for host in hosts:
            known = self.shelves.get(host.name)
            if host.state is api.ServerState.REMOVED:
                over += self.shelves.pop(host.name).retire() if known is not None else []
            elif known is None:
                self.shelves[host.name] = Shelf(host, self.links.release)
            else:
                over += self._change(known, host)
        for name, sent in over:  # when all is taken in: who waited may go to another of these hosts
            self._end(name, sent, api.AttemptStatus.NOT_STARTED)

    def _change(self, known: Shelf, host: Host) -> list[tuple[str, Sent]]:
        moved = host.address not in (None, known.host.address)
        over = known.retire() if moved else []
        known.host = host if host.address is not None else replace(host, address=known.host.address)
        if host.state is api.ServerState.DRAINING:
            over += known.call_off()
            for link in known.links:
                link.hurry()
        return over

    def send(self, order: UpstreamRequest) -> None:
        now = self.clock()
        sent = Sent(order, now, now + order.fetch.start_within_ms)
        self._send(order.fetch.server, order.client_request.transaction_id, sent)

    def withdraw(self, number: int) -> bool:
        """Take back an attempt that has not begun; False: it may have."""
        found, ident = self._where.get(number, (None, ""))
        waits = found.waiting.get(ident) if found is not None else None
        if found is None or waits is None or waits.order is None or waits.order.number != number:
            return False
        del found.waiting[ident], self._where[number]
        self.deadlines.cancel(waits.bound)
        return True

    def cancel(self, number: int) -> None:
        if self.withdraw(number):
            return
        found, ident = self._where.pop(number, (None, ""))
        for link in found.links if found is not None else ():
            sent = link.out.get(ident)
            if sent is not None and sent.order is not None and sent.order.number == number:
                return link.drop(ident)

    def probe(self, server: str) -> None:
        self._probes += 1
        tag, sent = f"probe-{self._probes}", Sent(None, self.clock())
        sent.timer = self.deadlines.add(
            sent.at + self.limits.dial_ms, lambda: self._probe_over(server, tag, sent)
        )
        self._send(server, tag, sent)

    def _probe_over(self, server: str, tag: str, sent: Sent) -> None:
        found = self.shelves.get(server)
        if found is not None:
            found.waiting.pop(tag, None)
            for link in found.links:
                if tag in link.out:
                    link.drop(tag)
        self._end(server, sent, api.AttemptStatus.TIMEOUT)

    def _send(self, server: str, ident: str, sent: Sent) -> None:
        found = self.shelves.get(server)
        if found is None or found.host.address is None:
            return self._end(server, sent, api.AttemptStatus.CONNECTION_REFUSED)
        if found.host.state is api.ServerState.DRAINING or sent.start_by < sent.at:
            return self._end(server, sent, api.AttemptStatus.NOT_STARTED)
        if sent.order is not None:
            self._where[sent.order.number] = (found, ident)
        link = found.way(ident)
        if link is not None:
            self._put(link, ident, sent)
            if link.load() > CROWDED and not self.links.full and self._may_dial(found, PREFERRED):
                self._dial(found)
            return
        if sent.at - found.untold <= self.limits.dial_ms:
            found.untold = -math.inf
            return self._end(server, sent, api.AttemptStatus.CONNECTION_REFUSED)
        may_dial = found.dial is not None or self._may_dial(found, NEEDED)
        if ident in found.waiting or len(found.waiting) >= WAITING or not may_dial:
            # Guards against blame: BUSY would count against the shelf's source, which this pool never asked.
            return self._end(server, sent, api.AttemptStatus.NOT_STARTED)
        found.waiting[ident] = sent
        if sent.start_by < math.inf:
            sent.bound = self.deadlines.add(sent.start_by, lambda: self._overdue(found, ident, sent))
        self._dial(found)

    def _put(self, link: UpstreamConnection, ident: str, sent: Sent) -> None:
        """Write it, with the time that is left by now: it may have waited for a dial."""
        if sent.order is None:
            return link.put(ident, sent, upstream.encode_health_check(ident))
        left_ms = sent.left_ms(self.clock())
        if left_ms < LEAST_LEFT_MS:
            return self._end(link.name, sent, api.AttemptStatus.NOT_STARTED)
        self.relayed += 1
        link.put(ident, sent, upstream.encode_request(sent.order, left_ms))

    def _overdue(self, found: Shelf, ident: str, sent: Sent) -> None:
        """It should have begun by now, and waits for a dial still."""
        del found.waiting[ident]
        self._end(found.host.name, sent, api.AttemptStatus.NOT_STARTED)

    def _may_dial(self, found: Shelf, most: int) -> bool:
        return len(found.trusted()) < most and len(found.links) < AT_MOST and self.links.can_reserve()

    def _dial(self, found: Shelf) -> None:
        if found.dial is not None:
            return
        assert found.host.address is not None
        self.links.reserve()
        name = found.host.name
        target = ConnectTarget(
            name, found.host.address, lambda: UpstreamConnection(self, name), self.limits.dial_ms
        )
        wanted = lambda: bool(found.waiting)  # noqa: E731
        dialling = ConnectAttempt(self.reactor, self.deadlines, lambda: self.clock(), target, wanted)

        def up(link: UpstreamConnection) -> None:
            found.dial = None
            self._dialled(found, link)

        def down(failure: ConnectFailure) -> None:
            found.dial = None
            self.links.release()
            log_disconnect(ConnectionKind.SERVER, None, "dial-failed", server=name)
            self._undialled(found, dialling.since, failure)

        dialling.up, dialling.down = up, down
        found.dial = dialling
        dialling.start()

    def _dialled(self, found: Shelf, link: UpstreamConnection) -> None:
        self.links.add(link)
        found.links.append(link)
        found.untold = -math.inf
        self.roomy(link)
        link.rest()
        if found.waiting and self._may_dial(found, NEEDED):
            return self._dial(found)
        self._fail_waiting(found, api.AttemptStatus.NOT_STARTED)

    def _undialled(self, found: Shelf, since: float, failure: ConnectFailure) -> None:
        """A dial failed.  Where the shelf was heard from meanwhile, one that did not come up in time speaks
        for itself alone: whoever is told REFUSED takes the whole shelf out for a while."""
        if failure is ConnectFailure.LOCAL:  # and nobody waits for it any more
            return
        heard = any(link.heard >= since for link in found.trusted())
        if heard and failure is not ConnectFailure.REFUSED:
            for link in found.links:
                self.roomy(link)
            return self._fail_waiting(found, api.AttemptStatus.NOT_STARTED)
        # Guards against a dead shelf that nobody learns of, where all have given up before the dial's end.
        found.untold = -math.inf if found.waiting else self.clock()
        self._fail_waiting(found, api.AttemptStatus.CONNECTION_REFUSED)

    def roomy(self, link: UpstreamConnection) -> None:
        """A connection may take more: what waits for a dial goes there, as far as it may still begin."""
        found = self.shelves.get(link.name)
        if found is None or not found.waiting or link not in found.links:
            return
        now = self.clock()
        for ident, sent in list(found.waiting.items()):
            if not link.free():
                return
            if found.waiting.get(ident) is not sent:
                continue  # ended by what the end of one before it led to
            if now > sent.start_by:  # and the loop is late
                self._overdue(found, ident, sent)
            elif link.has_room(ident):
                del found.waiting[ident]
                self.deadlines.cancel(sent.bound)
                self._put(link, ident, sent)

    def _fail_waiting(self, found: Shelf, status: api.AttemptStatus) -> None:
        for name, sent in found.clear():
            self._end(name, sent, status)

    def lost(self, link: UpstreamConnection) -> None:
        """A connection ended: what was out on it may have run."""
        self.links.remove(link)
        found = self.shelves.get(link.name)
        if found is not None and link in found.links:
            found.links.remove(link)
        out, link.out = link.out, {}
        for sent in out.values():
            self._end(link.name, sent, api.AttemptStatus.CONNECTION_RESET)

    def answered(self, link: UpstreamConnection, sent: Sent, answer: upstream.UpstreamResponse) -> None:
        told = answer.fields.get("report")
        report = read_report(upstream.decode_report(told)) if told else None
        if sent.order is None:
            fit = answer.code is upstream.ResponseCode.FIT
            return self._end(
                link.name,
                sent,
                api.AttemptStatus.SUCCEEDED if fit else api.AttemptStatus.ERROR,
                report=report,
            )
        status, content = STATUSES.get(answer.code, api.AttemptStatus.ERROR), None
        if status is api.AttemptStatus.SUCCEEDED:
            same = answer.code is upstream.ResponseCode.KEEP
            content = Content(answer.body, answer.fields.get("rev", ""), same)
            # Guards against "your copy holds" to a client that has none, or has another than the one named.
            if same and (
                not sent.order.client_request.if_none_match
                or content.etag != sent.order.client_request.if_none_match
            ):
                status, content = api.AttemptStatus.ERROR, None
        self._end(link.name, sent, status, content, report)

    def _end(
        self,
        name: str,
        sent: Sent,
        status: api.AttemptStatus,
        content: Content | None = None,
        report: api.LoadReport | None = None,
    ) -> None:
        self.deadlines.cancel(sent.bound)
        if sent.order is not None:
            self._where.pop(sent.order.number, None)
            return self.ends.attempt_ended(sent.order.number, status, content, report)
        self.deadlines.cancel(sent.timer)
        self.ends.probe_ended(name, status, self.clock() - sent.at, report)
