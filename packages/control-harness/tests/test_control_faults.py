"""Faults of relays and of discovery, with real processes.  Verdicts are by what routers and relays know."""

from __future__ import annotations

import signal

import pytest
from control_harness.relay_environment import Play, Stage


def test_a_relay_is_killed_and_starts_empty(play: Play) -> None:
    """Routers go to the other one, and still know a drain; the one that starts anew serves again."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        await stage.drain()
        first.kill()
        await stage.news()
        await stage.known(second)
        await stage.obeyed()
        first.start()
        await stage.ready(first)
        await stage.news()
        await stage.known(first, second)
        await stage.obeyed()

    play(scene)


def test_a_relay_stands_still_and_goes_on(play: Play) -> None:
    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        first.signal(signal.SIGSTOP)
        await stage.drain()
        await stage.news()
        await stage.known(second)
        first.signal(signal.SIGCONT)
        assert all('"why": "silent"' in router.log() for router in stage.routers)
        await stage.news()
        await stage.known(first, second)
        await stage.obeyed()

    play(scene)


@pytest.mark.parametrize("forth", [True, False])
def test_the_way_to_a_relay_is_cut_one_way(forth: bool, play: Play) -> None:
    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        stage.downs[0].cut(forth=forth, back=not forth)
        await stage.news()
        await stage.known(second)
        assert all('"why": "silent"' in router.log() for router in stage.routers)
        stage.downs[0].heal()
        await stage.news()
        await stage.known(first, second)

    play(scene)


def test_an_older_state_drains_nothing_back(play: Play) -> None:
    """The other relay has not heard of a drain: routers that come to it keep what they hold."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        stage.ups[1].cut()
        stage.downs[1].cut()  # nor is it asked who is younger
        await stage.drain()
        await stage.news()
        await stage.listed(stage.routers)
        first.kill()
        stage.downs[1].heal()
        await stage.moved(second)
        await stage.obeyed()
        await stage.listed(stage.routers)
        stage.ups[1].heal()
        await stage.news()
        await stage.known(second)
        await stage.obeyed()

    play(scene)


def test_a_relay_that_starts_while_discovery_is_down_asks_its_sibling(play: Play) -> None:
    """And its routers take nothing back by that.  Without a sibling it serves nothing, and says so."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        await stage.drain()
        await stage.discovery.down()
        first.kill()
        first.start()
        await stage.ready(first)
        status = await first.status()
        assert (status["shelfs"], status["seq"]) == ("3", "2") and int(status["age_ms"]) > 0
        await stage.obeyed()
        first.kill()
        second.kill()
        first.start()

        async def refuses() -> bool:
            status = await first.status()
            return await first.call("check") == ["NAK no-state"] and "ends.refused-no-state" in status

        await stage.until(refuses, "an empty relay refuses")
        await stage.obeyed()
        await stage.discovery.up()
        second.start()
        await stage.news()
        await stage.known(first, second)
        await stage.obeyed()

    play(scene)


def test_all_relays_restart_at_once(play: Play) -> None:
    async def scene(stage: Stage) -> None:
        await stage.open()
        await stage.drain()
        for relay in stage.relays:
            relay.kill()
        await stage.news()
        await stage.obeyed()
        for relay in stage.relays:
            relay.start()
        await stage.known(*stage.relays)
        await stage.obeyed()

    play(scene)


def test_routers_restart_while_discovery_is_down(play: Play) -> None:
    """Down until relays hold nothing younger than what counts as behind; routers take what there is."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        await stage.drain()
        await stage.discovery.down()

        async def old() -> bool:
            ages = [int((await relay.status())["age_ms"]) for relay in stage.relays]
            return min(ages) > 2500

        await stage.until(old, "relays know that their state is old")
        for router in stage.routers:
            router.kill()
            router.start()
        await stage.listed(stage.routers)
        await stage.obeyed()
        await stage.discovery.up()
        await stage.news()
        await stage.known(*stage.relays)

    play(scene)


def test_discovery_starts_its_numbers_anew(play: Play) -> None:
    async def scene(stage: Stage) -> None:
        await stage.open()
        for _ in range(3):
            await stage.news()
        await stage.known(*stage.relays)
        lines = [one.line() for one in (*stage.edges, stage.origin)]
        await stage.discovery.restart(lines)
        stage.shelfs = 3
        await stage.listed(stage.routers)
        await stage.news()
        await stage.known(*stage.relays)

    play(scene)
