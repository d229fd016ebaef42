"""What is done everywhere, as the doors tell it, and a relay's own end, with real processes."""

from __future__ import annotations

import asyncio
import signal

from control_harness.relay_environment import Play, Stage


def test_the_root_names_who_has_not_confirmed(play: Play) -> None:
    """Through two relays: a router that is paused is not counted as done, and is named; then all is done."""

    async def scene(stage: Stage) -> None:
        await stage.open(root=True)
        await stage.news()
        await stage.known(*stage.relays)
        paused = stage.routers[1]
        paused.signal(signal.SIGSTOP)
        await stage.news()

        async def named() -> bool:
            return (await stage.standing(stage.root)).endswith(f" waits 1 {paused.name}")

        await stage.until(named, f"the root names {paused.name}")
        told = "\n".join(await stage.root.call("relay"))
        assert f" 1 {paused.name}" in told and "behind relay-" in told, told
        paused.signal(signal.SIGCONT)

        async def done() -> bool:
            return " done " in await stage.standing(stage.root)

        await stage.until(done, "the root says that it is done")
        await stage.known(*stage.relays)

    play(scene)


def test_a_router_out_of_service_is_dismissed(play: Play) -> None:
    """A killed one is waited for until the operators say otherwise."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        gone = stage.routers.pop()
        gone.kill()
        await stage.news()

        async def named() -> bool:
            return (await stage.standing(first)).endswith(f" waits 1 {gone.name}")

        await stage.until(named, f"{gone.name} is waited for")
        assert await first.call(f"dismiss {gone.name}") == ["ACK"]
        assert await first.call("dismiss two words") == ["NAK not a name"]
        await stage.known(first, second)

    play(scene)


def test_a_router_that_knows_nothing_of_relays_works_before_one(play: Play) -> None:
    async def scene(stage: Stage) -> None:
        await stage.open()
        plain = stage.router("plain")
        plain.settle_plain(stage.downs[0].address)
        plain.start()
        stage.routers.append(plain)
        await stage.news()
        await stage.known(*stage.relays)
        await stage.drain()
        await stage.downs[0].down()
        await stage.downs[0].up()
        await stage.news()
        await stage.known(*stage.relays)
        await stage.obeyed()

    play(scene)


def test_a_relay_ends_in_order(play: Play) -> None:
    """Exit 0; who waits is answered; its routers go to the other one, and are not waited for here later."""

    async def scene(stage: Stage) -> None:
        await stage.open()
        first, second = stage.relays
        head = (await first.status())["head"]
        host, _, port = first.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET /cmd/next?resume={head}&block=5000 HTTP/1.1\r\nHost: x\r\n\r\n".encode())

        async def waits() -> bool:
            return (await first.status())["waiting"] == "3"

        await stage.until(waits, "three polls wait")
        first.signal(signal.SIGTERM)
        told = (await reader.read(-1)).decode()
        assert told.startswith("HTTP/1.1 200 ") and "Connection: close" in told and head in told, told
        await stage.ended(first)
        assert first.code == 0 and '"relay-ended"' in first.log()
        assert '"unread": 0' in first.log(), first.log()
        await stage.news()
        await stage.known(second)
        first.start()
        await stage.ready(first)
        await stage.news()
        await stage.known(first, second)

    play(scene)
