"""A full table of connections to servers: idle ones give way, busy ones stay."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionDone
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.wire.commands import Host


class FakeConnection:
    """Counts how it was ended."""

    def __init__(self, table: ConnectionTable[FakeConnection]) -> None:
        self.table, self.slot, self.ends = table, None, list[str]()

    def finish(self, code: str) -> None:
        self.ends.append("finish")
        self.table.closing(self)

    def close(self, code: str) -> None:
        self.ends.append("close")


def test_the_longest_idle_gives_way_and_few_wait_outside() -> None:
    table: ConnectionTable[FakeConnection] = ConnectionTable(8)
    connections = [FakeConnection(table) for _ in range(8)]
    for connection in connections:
        table.reserve()
        assert not table.can_reserve() or len(table) < 8
        table.add(connection)
    assert not table.can_reserve()  # all are busy
    for connection in (*connections[1:5], connections[1]):
        table.rested(connection)
    table.used(connections[2])
    for evicted in (3, 4, 1):
        table.reserve()
        assert connections[evicted].ends == ["finish"] and table.full
    assert connections[3].ends == ["finish", "close"]  # it has waited longest for its peer, outside
    assert [connection.ends for connection in connections].count([]) == 5 and not table.can_reserve()
    for connection in connections:
        table.remove(connection)
    assert len(table) == 0 and not table.full  # three places are those of dials
    for _ in range(3):
        table.release()
    for _ in range(8):
        assert table.can_reserve()
        table.reserve()
    assert not table.can_reserve()


class FullTableTest(TestCase):
    timeout = 30

    def setUp(self) -> None:
        self.rig, self.told = make_loopback_environment(), dict[int, api.AttemptStatus]()
        self.addCleanup(self.rig.stop)
        self.pool, self.pool.ends = self.rig.pool, self

    def attempt_ended(
        self, number: int, status: api.AttemptStatus, content: Any = None, report: Any = None
    ) -> None:
        self.told[number] = status

    def list_servers(self, count: int, capacity: int) -> None:
        self.pool.links = ConnectionTable(capacity)
        address = ("127.0.0.1", self.rig.ports[0].getHost().port)
        state = api.ServerState.SERVING
        hosts = (Host(f"e{i}", address, "here", "x", 0, state, 8.0, 0.0) for i in range(count))
        self.pool.update(tuple(hosts), True)

    def send(self, number: int, server: int) -> None:
        call = ClientRequest(f"t{number}", "films", "00000000000000ff", 900.0)
        self.pool.send(UpstreamRequest(number, call, api.StartAttempt("r", f"e{server}", 900.0, "origin")))

    @inlineCallbacks
    def test_more_servers_than_places_are_all_asked(self) -> Any:
        """Each in turn, twice: within the bound on open connections, and closed in order."""
        self.list_servers(count=40, capacity=16)
        most = 0
        for number in range(80):
            self.send(number, number % 40)
            yield self.rig.wait_until(lambda number=number: number in self.told)
            most = max(most, len(self.pool.links))
        self.assertEqual(set(self.told.values()), {api.AttemptStatus.SUCCEEDED})
        self.assertLessEqual(most, 16 + 16 // 8)
        yield self.rig.wait_until(
            lambda: sum(link.disconnect_error is not None for link in self.rig.server_connections) == 80 - 16
        )
        ended = [
            link.disconnect_error for link in self.rig.server_connections if link.disconnect_error is not None
        ]
        self.assertEqual({type(why) for why in ended}, {ConnectionDone})

    @inlineCallbacks
    def test_a_busy_connection_never_gives_way(self) -> Any:
        self.list_servers(count=4, capacity=2)
        self.rig.script = [None]
        self.send(0, 0)
        yield self.rig.wait_until(lambda: self.rig.received_requests)
        for number in (1, 2):  # the second takes the place of the first's connection, which is idle
            self.send(number, number)
            yield self.rig.wait_until(lambda number=number: number in self.told)
        self.rig.script = [None]
        self.send(3, 2)
        yield self.rig.wait_until(lambda: len(self.rig.received_requests) == 4)
        self.send(4, 3)
        self.assertEqual(self.told.pop(4), api.AttemptStatus.NOT_STARTED)  # nothing is idle
        self.rig.received_requests[0][0].send_answer(b"t0", b"DONE", b"x")
        yield self.rig.wait_until(lambda: 0 in self.told)
        self.send(5, 3)
        yield self.rig.wait_until(lambda: 5 in self.told)
        self.assertEqual(self.told, dict.fromkeys((0, 1, 2, 5), api.AttemptStatus.SUCCEEDED))
