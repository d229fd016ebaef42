"""A reactor that counts the traffic of the connections opened through it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from fleet_scale.messages import ChannelCounters


class CountingReactor:
    """Counts connects, disconnects, writes and bytes, and delegates everything else to the real reactor."""

    def __init__(self, reactor: Any, counters: ChannelCounters) -> None:
        self._reactor = reactor
        self._counters = counters

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, *arguments: Any, **named_arguments: Any
    ) -> Any:
        """Connect, and count the traffic of the protocol that the factory builds."""
        self._counters.connects += 1
        build_protocol = factory.buildProtocol

        def build_counted(address: object) -> protocol.Protocol:
            built: protocol.Protocol = build_protocol(address)
            _count_reads(built, self._counters)
            _count_writes(built, self._counters)
            _count_disconnect(built, self._counters)
            return built

        factory.buildProtocol = build_counted
        return self._reactor.connectTCP(host, port, factory, *arguments, **named_arguments)


def _count_reads(built: protocol.Protocol, counters: ChannelCounters) -> None:
    data_received = built.dataReceived

    def count_and_receive(data: bytes) -> None:
        counters.bytes_in += len(data)
        data_received(data)

    built.dataReceived = count_and_receive  # type: ignore[method-assign]


def _count_writes(built: protocol.Protocol, counters: ChannelCounters) -> None:
    make_connection: Callable[[Any], None] = built.makeConnection

    def make_counted_connection(transport: Any) -> None:
        write = transport.write

        def count_and_write(data: bytes) -> None:
            counters.polls += 1
            counters.bytes_out += len(data)
            write(data)

        transport.write = count_and_write
        make_connection(transport)

    built.makeConnection = make_counted_connection  # type: ignore[method-assign]


def _count_disconnect(built: protocol.Protocol, counters: ChannelCounters) -> None:
    connection_lost = built.connectionLost

    def count_and_disconnect(*reason: Any) -> None:
        counters.disconnects += 1
        connection_lost(*reason)

    built.connectionLost = count_and_disconnect  # type: ignore[assignment, method-assign]
