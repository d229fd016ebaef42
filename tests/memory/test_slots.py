"""Tables of bounded size that never use a number for two entries."""

from __future__ import annotations

import pytest

from thornjunction.memory.slots import SlotTable, SlotTableFullError


def test_a_full_table_accepts_no_entry() -> None:
    table: SlotTable[str] = SlotTable(2)
    table.add("a")
    table.add("b")
    with pytest.raises(SlotTableFullError):
        table.add("c")


def test_a_stale_number_does_not_find_the_next_entry_of_its_slot() -> None:
    table: SlotTable[str] = SlotTable(2)
    first = table.add("a")
    second = table.add("b")
    assert table.remove(first) == "a"
    assert table.remove(first) is None
    assert table.add("d") not in (first, second)
    assert table.get(first) is None
    assert list(table) == ["b", "d"]
