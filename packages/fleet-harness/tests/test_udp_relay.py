"""The relays with a fake reactor: what a link does to the datagrams on it."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from fleet_harness.udp_relay import CLEAR, MAX_HELD, Relay
from fleet_sim import LinkQuality

A, B = ("127.0.0.1", 11), ("127.0.0.1", 12)  # where the routers really listen


class Reactor:
    """Binds ports from 100 up; what is to be done later waits for ``wait``."""

    def __init__(self) -> None:
        self.bound, self.later = 0, list[tuple[float, Callable[[], None]]]()
        self.sent: list[tuple[int, bytes, Any]] = []

    def listenUDP(self, port: int, gate: Any, interface: str) -> Any:  # noqa: N802
        self.bound += 1
        number = 100 + self.bound
        gate.transport = SimpleNamespace(write=lambda data, to: self.sent.append((number, data, to)))
        return SimpleNamespace(getHost=lambda: SimpleNamespace(port=number))

    def callLater(self, seconds: float, call: Callable[..., None], *args: Any) -> None:  # noqa: N802
        self.later.append((seconds, lambda: call(*args)))

    def wait(self) -> None:
        for _, call in sorted(self.later, key=lambda entry: entry[0]):
            call()


class Pair:
    """Routers ``a`` and ``b`` behind a relay."""

    def __init__(self, **quality: float) -> None:
        self.reactor = Reactor()
        self.relay = Relay(self.reactor, seed=3)
        for name, real in (("a", A), ("b", B)):
            self.relay.add(name)
            self.relay.register(name, real)
        self.link = self.relay.links["a", "b"]
        self.link.quality = LinkQuality(**{"min_delay_ms": 0.0, "max_delay_ms": 0.0, **quality})

    def send(self, count: int) -> list[int]:
        """So many from ``a`` to ``b``; those that came, by their numbers."""
        for number in range(count):
            self.relay.gates["b"].datagramReceived(bytes([number]), A)
        self.reactor.wait()
        assert {(port, to) for port, _, to in self.reactor.sent} <= {(101, B)}  # from a's public address
        return [data[0] for _, data, _ in self.reactor.sent]


@pytest.mark.parametrize(
    ("quality", "holds"),
    [
        ({}, lambda came: came == list(range(100))),
        ({"loss": 0.2}, lambda came: 70 <= len(came) <= 90 and came == sorted(came)),
        ({"duplicated": 0.2}, lambda came: 110 <= len(came) <= 130 and set(came) == set(range(100))),
        ({"reordered": 0.2}, lambda came: came != sorted(came) and sorted(came) == list(range(100))),
        ({"min_delay_ms": 5.0, "max_delay_ms": 9.0}, lambda came: sorted(came) == list(range(100)) != came),
    ],
)
def test_a_link_spoils_what_it_carries_by_its_quality(quality: dict[str, float], holds: Any) -> None:
    pair = Pair(**quality)
    assert holds(pair.send(100))
    assert all(quality.get("min_delay_ms", 0.0) <= at * 1000.0 <= 59.0 for at, _ in pair.reactor.later)


def test_a_cut_is_one_way_and_ends() -> None:
    pair = Pair()
    pair.link.cut = True
    assert pair.send(3) == [] and pair.relay.counts["dropped"] == 3
    pair.relay.gates["a"].datagramReceived(b"x", B)
    assert pair.reactor.sent == [(102, b"x", A)]
    pair.reactor.sent.clear()
    pair.link.cut = False
    assert pair.send(2) == [0, 1]


def test_what_was_sent_is_replayed_unchanged() -> None:
    pair = Pair()
    pair.link.cut = True
    pair.send(9)
    pair.relay.replay("a", "b", 2)
    assert [data[0] for _, data, _ in pair.reactor.sent] == [7, 8]


def test_a_router_is_heard_once_it_is_known_and_no_longer_than_it_lives() -> None:
    pair = Pair()
    fresh = ("127.0.0.1", 13)
    for number in range(MAX_HELD + 5):
        pair.relay.gates["b"].datagramReceived(bytes([number]), fresh)
    assert not pair.reactor.sent
    pair.relay.register("a", fresh)
    assert [data[0] for _, data, _ in pair.reactor.sent] == list(range(5, MAX_HELD + 5))
    del pair.relay.real["b"]
    pair.reactor.sent.clear()
    pair.relay.gates["b"].datagramReceived(b"x", fresh)
    assert not pair.reactor.sent and CLEAR.loss == 0.0
