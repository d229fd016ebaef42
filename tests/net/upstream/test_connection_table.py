"""The bound on connections to servers: slots, eviction of idle connections, and evicted ones."""

from __future__ import annotations

from thornjunction.net.upstream.connection_table import ConnectionTable


class FakeConnection:
    """A connection that records how it was closed."""

    def __init__(self, table: ConnectionTable[FakeConnection]) -> None:
        self.table = table
        self.slot: int | None = None
        self.ends: list[str] = []

    def shut_down(self, reason: str) -> None:
        self.ends.append("shut_down")
        self.table.mark_closing(self)

    def abort(self, reason: str) -> None:
        self.ends.append("abort")


def test_the_longest_idle_is_evicted_and_evicted_ones_that_wait_are_bounded() -> None:
    table: ConnectionTable[FakeConnection] = ConnectionTable(8)
    connections = [FakeConnection(table) for _ in range(8)]
    for connection in connections:
        table.reserve()
        assert not table.can_reserve() or len(table) < 8
        table.add(connection)
    assert not table.can_reserve()  # all are in use
    for connection in (*connections[1:5], connections[1]):
        table.mark_idle(connection)
    table.mark_in_use(connections[2])
    for evicted in (3, 4, 1):
        table.reserve()
        assert connections[evicted].ends == ["shut_down"]
        assert table.is_full
    assert connections[3].ends == ["shut_down", "abort"]  # the evicted connection that has waited longest
    assert [connection.ends for connection in connections].count([]) == 5
    assert not table.can_reserve()
    for connection in connections:
        table.remove(connection)
    assert len(table) == 0
    assert not table.is_full  # three slots are reserved
    for _ in range(3):
        table.release()
    for _ in range(8):
        assert table.can_reserve()
        table.reserve()
    assert not table.can_reserve()
