"""The UDP relay with a fake reactor: faults of a link, replay, and routers that start and end."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from fleet_harness.udp_relay import MAX_UNATTRIBUTED, PERFECT_QUALITY, UdpRelay
from fleet_sim import LinkQuality

ADDRESS_A = ("127.0.0.1", 11)  # the addresses on which the routers' processes listen
ADDRESS_B = ("127.0.0.1", 12)


class FakeReactor:
    """Binds ports from 101 on; delayed calls run when ``run_delayed`` is called."""

    def __init__(self) -> None:
        self.bound = 0
        self.delayed: list[tuple[float, Callable[[], None]]] = []
        self.sent: list[tuple[int, bytes, Any]] = []

    def listenUDP(self, port: int, public_socket: Any, interface: str) -> Any:  # noqa: N802
        self.bound += 1
        number = 100 + self.bound
        public_socket.transport = SimpleNamespace(write=lambda data, to: self.sent.append((number, data, to)))
        return SimpleNamespace(getHost=lambda: SimpleNamespace(port=number))

    def callLater(self, seconds: float, call: Callable[..., None], *args: Any) -> None:  # noqa: N802
        self.delayed.append((seconds, lambda: call(*args)))

    def run_delayed(self) -> None:
        for _, call in sorted(self.delayed, key=lambda entry: entry[0]):
            call()


class RelayedPair:
    """Routers ``a`` and ``b``, connected by a UDP relay."""

    def __init__(self, **quality: float) -> None:
        self.reactor = FakeReactor()
        self.relay = UdpRelay(self.reactor, seed=3)
        for name, address in (("a", ADDRESS_A), ("b", ADDRESS_B)):
            self.relay.add_router(name)
            self.relay.set_router_address(name, address)
        self.link = self.relay.links["a", "b"]
        self.link.quality = LinkQuality(**{"min_delay_ms": 0.0, "max_delay_ms": 0.0, **quality})

    def send(self, count: int) -> list[int]:
        """Send numbered datagrams from ``a`` to ``b``; return the numbers that arrived."""
        for number in range(count):
            self.relay.public_sockets["b"].datagramReceived(bytes([number]), ADDRESS_A)
        self.reactor.run_delayed()
        assert {(port, to) for port, _, to in self.reactor.sent} <= {
            (101, ADDRESS_B)
        }  # sent from a's public address
        return [data[0] for _, data, _ in self.reactor.sent]


@pytest.mark.parametrize(
    ("quality", "expected"),
    [
        ({}, lambda numbers: numbers == list(range(100))),
        ({"loss": 0.2}, lambda numbers: 70 <= len(numbers) <= 90 and numbers == sorted(numbers)),
        ({"duplicated": 0.2}, lambda numbers: 110 <= len(numbers) <= 130 and set(numbers) == set(range(100))),
        (
            {"reordered": 0.2},
            lambda numbers: numbers != sorted(numbers) and sorted(numbers) == list(range(100)),
        ),
        (
            {"min_delay_ms": 5.0, "max_delay_ms": 9.0},
            lambda numbers: sorted(numbers) == list(range(100)) != numbers,
        ),
    ],
)
def test_a_link_applies_the_faults_of_its_quality(quality: dict[str, float], expected: Any) -> None:
    pair = RelayedPair(**quality)
    assert expected(pair.send(100))
    assert all(quality.get("min_delay_ms", 0.0) <= at * 1000.0 <= 59.0 for at, _ in pair.reactor.delayed)


def test_a_cut_is_one_way_until_it_is_healed() -> None:
    pair = RelayedPair()
    pair.link.cut = True
    assert pair.send(3) == []
    assert pair.relay.counters.dropped == 3
    pair.relay.public_sockets["a"].datagramReceived(b"x", ADDRESS_B)
    assert pair.reactor.sent == [(102, b"x", ADDRESS_A)]
    pair.reactor.sent.clear()
    pair.link.cut = False
    assert pair.send(2) == [0, 1]


def test_datagrams_are_replayed_unchanged() -> None:
    pair = RelayedPair()
    pair.link.cut = True
    pair.send(9)
    pair.relay.replay("a", "b", 2)
    assert [data[0] for _, data, _ in pair.reactor.sent] == [7, 8]


def test_datagrams_pass_once_the_sender_is_known_and_while_the_receiver_runs() -> None:
    pair = RelayedPair()
    new_address = ("127.0.0.1", 13)
    for number in range(MAX_UNATTRIBUTED + 5):
        pair.relay.public_sockets["b"].datagramReceived(bytes([number]), new_address)
    assert not pair.reactor.sent
    pair.relay.set_router_address("a", new_address)
    assert [data[0] for _, data, _ in pair.reactor.sent] == list(range(5, MAX_UNATTRIBUTED + 5))
    pair.relay.remove_router_address("b")
    pair.reactor.sent.clear()
    pair.relay.public_sockets["b"].datagramReceived(b"x", new_address)
    assert not pair.reactor.sent
    assert PERFECT_QUALITY.loss == 0.0
