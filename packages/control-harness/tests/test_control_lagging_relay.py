"""Routers that fall behind, and many that come at once, with real processes."""

from __future__ import annotations

import asyncio
import signal

import pytest
from control_harness.poller import Poller
from control_harness.relay_environment import Play, Stage

CHANGES = 1_100  # of the list: more than a relay's log keeps
POLLERS = 100
FIRST, BURST = 1_000, 1_500  # purges of one moment: more than 64 KB of events
HOUR = 20_000  # purges of one: fewer than there are, and more than a relay keeps
CUT_AT = 40_010  # bytes of them: within one


def test_a_router_is_paused_for_longer_than_the_log(play: Play) -> None:
    """It gets the whole state, with the drain that it did not hear of, and confirms what it holds then."""

    async def scene(stage: Stage) -> None:
        await stage.open(hold_ms=1000)
        paused, other = stage.routers
        paused.signal(signal.SIGSTOP)
        stage.routers = [other]
        await stage.drain()
        await stage.news()  # what the log has lost, later
        line = stage.origin.line("leaving") | {"host": "more", "class": "box"}
        for share in range(CHANGES):
            await stage.discovery.tell_list([line | {"share": share}])
        stage.shelfs += 1
        await stage.news()
        await stage.listed([other])
        paused.signal(signal.SIGCONT)
        stage.routers = [paused, other]
        await stage.news()
        await stage.known(*stage.relays)
        await stage.obeyed()

    play(scene)


def test_a_relay_is_an_hour_behind(play: Play) -> None:
    """Purges that no cache holds any more are not told on: else they would be too many to be told one by one,
    and whole groups, or all, would be purged instead."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        for link in stage.ups:
            link.cut()
        ago_ms = [3_600_000.0 * (HOUR - number) / HOUR for number in range(HOUR)]
        await stage.discovery.purge(*range(FIRST, FIRST + HOUR), ago_ms=ago_ms)
        await stage.news()
        for link in stage.ups:
            link.heal()
        await stage.known(*stage.relays)
        for relay in stage.relays:
            assert "purges-joined" not in relay.log()
            assert 0 < int((await relay.status())["purges"]) < HOUR / 10

    play(scene)


def test_many_routers_come_back_at_once(play: Play) -> None:
    """All connections of a relay are reset in one moment; each router hears each event once, in order, and
    discovery notices nothing."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        pollers = [Poller(stage.downs[0].address, f"poller-{number}") for number in range(POLLERS)]
        stage.extra = POLLERS
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(poller.run()) for poller in pollers]
            await stage.news()
            await stage.known(*stage.relays)
            dials, polls = stage.downs[0].dials, stage.discovery.polls
            await stage.downs[0].down()
            await stage.news()
            await stage.downs[0].up()
            await stage.known(*stage.relays)
            assert stage.discovery.polls - polls < POLLERS, "reconnecting routers reached discovery"
            assert stage.downs[0].dials - dials >= POLLERS
            for poller in pollers:
                assert poller.purges == [1, 2] and poller.disorder == 0, (poller.purges, poller.disorder)
            for task in tasks:
                task.cancel()

    play(scene)


@pytest.mark.parametrize("below", [True, False], ids=["of a relay", "of discovery"])
def test_an_answer_is_cut_in_the_middle_of_an_event(below: bool, play: Play) -> None:
    """What came whole counts, and what did not is asked for: nobody goes on from a number in between.  The
    answer of discovery is one that is taken in pieces."""

    async def scene(stage: Stage) -> None:
        await stage.open(hold_ms=60_000)
        links = stage.downs if below else stage.ups
        for link in links:
            link.cut_events = CUT_AT
        await stage.discovery.purge(*range(FIRST, FIRST + BURST))
        await stage.news()
        await stage.known(*stage.relays)
        assert any(link.cut_events is None for link in links)
        for relay in stage.relays:
            assert int((await relay.status())["purges"]) == BURST + 1
        await stage.drain()
        await stage.obeyed()

    play(scene)
