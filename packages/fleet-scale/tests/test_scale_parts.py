"""The parts of a scale run that touch no socket: plans, the log, the topology, fits and tables."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import pytest
from fleet_scale.event_log import EventLog, digest, listed
from fleet_scale.fit import fit, quantile
from fleet_scale.plan import SHARE, Changes, Purges, change_of, share_of
from fleet_scale.report import Report
from fleet_scale.tally import Seen, Tally, merged
from fleet_scale.topology import HERE, TopologyError, read_topology

from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import Commands, ListChange, Purge, decode_commands


def read(answer: bytes) -> Commands:
    (response,) = http1.ResponseReader(10_000_000).feed(answer)
    return decode_commands(response.body)


def test_a_fit_finds_the_slope_and_its_error() -> None:
    exact = fit([0, 1, 2, 3], [5, 7, 9, 11])
    assert (exact.slope, exact.at_zero, exact.error, exact.at(10)) == (2.0, 5.0, 0.0, 25.0)
    noisy = fit([0, 1, 2, 3], [0, 3, 0, 3])
    # residuals by hand: slope 0.6, at 0 0.6; sum of squares 7.2; sqrt(7.2 / 2 / 5)
    assert noisy.slope == pytest.approx(0.6) and noisy.error == pytest.approx(math.sqrt(0.72))
    assert exact.rises and not noisy.rises
    for xs in ([1.0, 2.0], [1.0, 1.0, 1.0]):
        with pytest.raises(ValueError):
            fit(xs, xs)
    assert [quantile([1, 2, 3, 4], share) for share in (0.5, 0.99, 0.0)] == [2, 4, 1]


def test_plans_number_events_by_their_times() -> None:
    purges = Purges(at=10.0, rate=4.0, count=8, first=100)
    assert (purges.due(100), purges.due(104), purges.end) == (10.0, 11.0, 11.75)
    burst = Purges(at=10.0, rate=0.0, count=4, first=0, past_s=3600.0)
    assert [burst.due(n) for n in burst.numbers()] == [10.0] * 4
    assert [burst.purged(n) for n in burst.numbers()] == [-2690.0, -1790.0, -890.0, 10.0]
    changes = Changes(at=0.0, every_s=2.0, count=4, first=1)
    assert [(changes.shelf(n, 10), changes.state(n)) for n in changes.numbers()] == [
        (0, "leaving"), (0, "active"), (7, "leaving"), (7, "active"),
    ]  # fmt: skip
    assert all(change_of(share_of(n)) == n for n in (0, 1, 7, 100_000))


def log_of(shelfs: int) -> EventLog:
    return EventLog(listed(shelfs, ["a", "b"], [1, 2, 3], SHARE))


def test_the_log_tells_the_whole_list_first_and_then_what_is_behind_a_number() -> None:
    log = log_of(5)
    first = read(log.answer(0))
    (change,) = first.events
    assert isinstance(change, ListChange) and change.is_complete and len(change.hosts) == 6
    log.purge(7, 1e12)
    log.change("s-0001", health="leaving", share=share_of(1))
    told = read(log.answer(first.cursor))
    purge, change = told.events
    assert isinstance(purge, Purge) and (purge.key, purge.issued_unix_ms, purge.cursor) == (7, 1e12, 2)
    assert isinstance(change, ListChange) and not change.is_complete and change.cursor == 3 == told.cursor
    assert [(host.name, change_of(host.weight)) for host in change.hosts] == [("s-0001", 1)]
    assert read(log.answer(3)).events == () and read(log.answer(9)).cursor == 3


def test_who_knows_nothing_is_told_the_list_as_it_stands_and_the_purges_that_hold() -> None:
    log = log_of(2)
    for number, when in ((0, 1e12), (1, 1e12 + 9000), (2, 1e12 + 12_000)):
        log.purge(number, when)
    log.change("s-0000", health="leaving")
    told = read(log.answer(0))
    assert [e.key for e in told.events if isinstance(e, Purge)] == [1, 2]
    assert [e.cursor for e in told.events] == [3, 4, 5] and told.cursor == 5
    whole = told.events[-1]
    assert isinstance(whole, ListChange) and [host.state.name for host in whole.hosts][0] == "DRAINING"
    log.restart()
    assert log.cursor == 1 and len(read(log.answer(0)).events) == 1


def test_a_past_is_told_to_those_who_were_behind_before_it() -> None:
    log = log_of(1)
    for number in range(100):
        log.purge(number, 1e12)
    log.past((number, 1e12) for number in range(100, 200))
    log.purge(200, 1e12)

    def keys(resume: int) -> list[int | None]:
        return [event.key for event in read(log.answer(resume)).events if isinstance(event, Purge)]

    assert keys(101) == [199, 200] and keys(99) == [98, 99, 199, 200] and keys(201) == [200]
    assert keys(80) == list(range(79, 201))


def test_lists_have_one_name_wherever_they_are() -> None:
    assert digest({"a": 1.0, "b": 2.0}) == digest({"b": 2.0, "a": 1.0}) != digest({"a": 1.0})


def test_tallies_of_processes_add_up_and_repeats_are_counted() -> None:
    one, other, seen = Tally(), Tally(), Seen()
    one.taken(one.purges, 5, 1.0)
    one.taken(one.purges, 5, 3.0)
    other.taken(other.purges, 5, 2.0)
    whole = merged([one.told("purges", 0, 9), other.told("purges", 0, 9)])
    assert {n: (t.count, t.first, t.last) for n, t in whole.items()} == {5: (3, 1.0, 3.0)}
    assert [seen.add(n) for n in (0, 5000, 5000, 3)] == [True, True, False, True]
    assert (seen.count, seen.repeated, seen.highest) == (3, 1, 5000)


def test_the_full_topology_is_the_one_that_is_expected_in_two_years() -> None:
    full = read_topology(HERE / "full.toml")
    sites = full.sites()
    assert (len(full.regions), len(full.zones()), len(sites), full.shelfs) == (8, 22, 58, 440)
    assert sum(len(site.routers) for site in sites) == 1200
    assert {len(site.routers) for site in sites} == {20, 21}
    names = [name for site in sites for name in site.routers]
    assert len(set(names)) == 1200 and len(full.sized(300).sites()) == 58


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("routers = 0", "routers"),
        ("routers = 5000", "routers"),
        ("relays = ['r9']", "r9"),
        ("regions = {}", "regions"),
        ("delays = {zone = 0, region = 0, far = 5000}", "delays"),
        ("delays = {zone = 0}", "region"),
        ("links = 'many'", "many"),
        ("links = [", "toml"),
    ],
)
def test_a_faulty_topology_is_named(tmp_path: Path, text: str, fault: str) -> None:
    lines = (HERE / "small.toml").read_text().splitlines()
    key = text.split(" ")[0]
    if key in ("regions", "delays"):
        begin = lines.index(f"[{key}]")
        end = next((n for n in range(begin + 1, len(lines)) if lines[n].startswith("[")), len(lines))
        lines = [text, *lines[:begin], *lines[end:]]
    else:
        lines = [text, *(line for line in lines if not line.startswith(key))]
    path = tmp_path / "t.toml"
    path.write_text("\n".join(lines))
    with pytest.raises(TopologyError, match=fault):
        read_topology(path)


def test_a_report_shows_its_command_rows_and_what_fails(tmp_path: Path) -> None:
    report = Report("command")
    table: Any = report.table("How long?", "a", "b", "c")
    table.add(1, 0.012345, "x")
    table.add(1234.5, math.nan, 0.0)
    with pytest.raises(ValueError):
        table.add(1)
    report.verdict("good", True)
    report.verdict("bad", False)
    report.write(tmp_path / "deep" / "out.md")
    text = (tmp_path / "deep" / "out.md").read_text()
    assert "Made by `command`." in text and "| 1 | 0.0123 | x |" in text and "| 1234 | none | 0 |" in text
    assert "| bad | **fails** |" in text and report.failed == ["bad"]
