"""A router's channel at several sources, on real connections, its deadlines by a clock turned by hand; the
sources are scripted."""

from __future__ import annotations

import json
from typing import Any

from fakes.event_loop import reactor, wait_until
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.core.test_engine import CONFIG
from tests.net.discovery.sources_rig import ScriptedSource, SourcesRig
from thornjunction.core.counters import Counters
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.control_settings import ControlSettings
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import Extras
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.service import Service

WITHIN_MS = 2000.0


class SourcesTest(TestCase):
    timeout = 60

    def rig(self, *epochs: str) -> tuple[SourcesRig, list[ScriptedSource]]:
        rig = SourcesRig(*epochs)
        self.addCleanup(rig.stop)
        return rig, rig.sources

    @inlineCallbacks
    def begun(self, *epochs: str) -> Any:
        """All sources tell one list and one purge, each under its own numbers; the first is polled."""
        rig, sources = self.rig(*epochs)
        for at, source in enumerate(sources):
            source.number = 100 * (len(sources) - at)  # later sources have lower numbers
            source.list_(5, c1="active", c2="active").purge(1, 10)
        rig.channel.start()
        yield rig.asked(sources[0], 2)
        return rig, sources

    @inlineCallbacks
    def test_polls_say_whose_numbers_they_are_in_and_who_asks(self) -> Any:
        rig, (a, _) = yield self.begun("A", "B")
        self.assertEqual(a.polls[0], {"resume": "0", "block": "1", "as": "router", "name": "r1"})
        asked = {"resume": "202", "block": "800", "epoch": "A", "as": "router", "name": "r1"}
        self.assertEqual(a.polls[1], asked)
        self.assertEqual((rig.listed(), rig.purged()), ({"c1": "SERVING", "c2": "SERVING"}, [1]))
        self.assertEqual((rig.epochs, rig.current, rig.confirmed), (1, 1, [(0.0, 202)]))

    @inlineCallbacks
    def test_a_source_that_is_killed_is_left_at_once_and_no_event_is_lost_or_repeated(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        b.purge(2, 20).list_(6, c1="leaving").purge(3, 30)
        a.purge(2, 20)
        yield rig.asked(a, 3)
        yield a.kill()
        yield rig.asked(b, 2)
        self.assertEqual(rig.now_ms, 1e6)  # no time has passed
        self.assertEqual((rig.purged(), rig.listed()["c1"]), ([1, 2, 3], "DRAINING"))
        self.assertEqual(
            (b.polls[0]["epoch"], b.polls[0]["resume"], b.polls[1]["resume"]), ("A", "203", "105")
        )

    @inlineCallbacks
    def test_a_source_that_hangs_is_left_in_time(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        a.way, hung_at = "hung", rig.now_ms
        rig.advance(1299.0)
        self.assertEqual((rig.channel.sources.current.priority, b.polls), (0, []))
        rig.advance(1.0)
        yield rig.asked(b, 2)
        self.assertLess(rig.now_ms - hung_at, WITHIN_MS)

    @inlineCallbacks
    def test_a_source_has_as_long_for_a_whole_state_as_for_a_poll_and_longer_after_another_hung(self) -> Any:
        """186 routers of a relay that was killed came to the next at once, gave it 501 ms for a whole state,
        and went on to another in turn: several states each."""
        rig, (a, b) = yield self.begun("A", "B")
        a.way = b.way = "hung"
        rig.advance(1300.0)
        yield rig.asked(b, 1)
        rig.advance(1799.0)
        self.assertEqual(rig.channel.sources.current.priority, 1)
        rig.advance(802.0)
        self.assertNotEqual(rig.channel.sources.current, rig.channel.sources.sources[b.address])

    @inlineCallbacks
    def test_a_process_that_was_late_itself_reads_before_it_judges(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        rig.now_ms += 60_000.0
        a.purge(7, 70)
        rig.deadlines.run_due(rig.now_ms)  # before any socket is read
        yield wait_until(lambda: 7 in rig.purged())
        self.assertEqual((rig.channel.sources.current.priority, b.polls), (0, []))

    @inlineCallbacks
    def test_a_source_that_refuses_is_left_and_told_so(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        a.way = "503"
        a.release()
        yield rig.asked(b, 2)
        self.assertEqual((rig.now_ms, a.probes), (1e6, []))
        yield rig.live(2000.0)
        self.assertTrue(a.probes)  # it isn't to wait for this router
        self.assertEqual(a.probes[0]["name"], "r1")

    @inlineCallbacks
    def test_an_answer_that_is_cut_in_its_middle_counts_for_nothing(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        b.list_(6, c1="leaving").purge(2, 20)
        a.cut = True
        a.list_(6, c1="leaving").purge(2, 20)
        yield rig.asked(b, 2)
        self.assertEqual((rig.purged(), rig.listed()["c1"]), ([1, 2], "DRAINING"))

    @inlineCallbacks
    def test_a_source_that_falls_behind_is_left_for_one_that_is_younger(self) -> Any:
        rig, (a, b, c) = yield self.begun("A", "B", "C")
        a.age_ms, b.age_ms, c.age_ms = 2500, 2400, 300
        a.release()
        yield rig.asked(c, 2)
        self.assertEqual((rig.now_ms, len(b.probes), b.polls), (1e6, 1, []))
        yield wait_until(lambda: len(a.probes) == 1)

    @inlineCallbacks
    def test_where_all_are_behind_the_youngest_is_taken(self) -> Any:
        rig, (a, b, c) = yield self.begun("A", "B", "C")
        a.age_ms, b.age_ms, c.age_ms = 9000, 4000, 6000
        a.release()
        yield rig.asked(b, 2)
        yield rig.live(30_000.0)
        self.assertEqual(
            (rig.channel.sources.current.priority, rig.channel.sources.switches, c.polls), (1, 1, [])
        )
        self.assertLess(len(c.probes), 12)

    @inlineCallbacks
    def test_an_older_state_neither_undrains_nor_unpurges(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        a.list_(6, c1="leaving").list_(7, c2="leaving").purge(1, 15)
        yield rig.asked(a, 3)
        b.age_ms = 400
        yield a.kill()
        yield rig.asked(b, 2)
        drained = {"c1": "DRAINING", "c2": "DRAINING"}
        self.assertEqual((rig.listed(), rig.purged()), (drained, [1, 1]))
        b.list_(6, c1="leaving")
        yield rig.asked(b, 3)
        self.assertEqual(rig.listed(), drained)
        b.list_(7, c2="leaving").purge(4, 40).list_(8, c1="active")
        yield rig.asked(b, 5)
        self.assertEqual((rig.listed(), rig.purged()), (drained | {"c1": "SERVING"}, [1, 1, 4]))

    @inlineCallbacks
    def test_a_discovery_that_was_set_back_is_heeded_once_that_is_certain(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        b.state.clear()
        b.list_(1, c3="active")
        yield a.kill()
        yield rig.asked(b, 2)
        self.assertEqual(set(rig.listed()), {"c1", "c2"})
        yield rig.live(1300.0)
        self.assertEqual(rig.listed(), {"c3": "SERVING"})

    @inlineCallbacks
    def test_a_plain_discovery_beside_a_relay_tells_its_history_and_no_step_of_it_is_held(self) -> Any:
        rig, (a, b) = yield self.begun("A", "")
        b.list_(6, c1="leaving").list_(7, c1="active")
        yield a.kill()
        yield rig.asked(b, 3)
        self.assertEqual([poll["resume"] for poll in b.polls], ["202", "0", "104"])
        self.assertNotIn("epoch", b.polls[1])
        lists = [command for command in rig.taken if hasattr(command, "hosts")]
        self.assertEqual(
            (len(lists), rig.listed(), rig.purged()), (2, {"c1": "SERVING", "c2": "SERVING"}, [1])
        )

    @inlineCallbacks
    def test_all_down_and_one_back(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        yield a.kill()
        yield rig.asked(b, 2)
        yield b.kill()
        yield rig.live(20_000.0, 100.0)
        self.assertEqual(rig.listed(), {"c1": "SERVING", "c2": "SERVING"})  # what is known stands
        b.revive("B2")
        b.forget_purges()
        b.purge(2, 20)
        back_at, polls = rig.now_ms, len(b.polls)
        while len(b.polls) < polls + 2:
            yield rig.live(100.0, 100.0)
        self.assertLess(rig.now_ms - back_at, WITHIN_MS)
        self.assertEqual(rig.purged(), [1, 2])

    @inlineCallbacks
    def test_the_first_in_the_order_is_gone_back_to_when_it_has_answered_well(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        yield a.kill()
        yield rig.asked(b, 2)
        a.revive("A2")
        a.forget_purges()
        polls = len(a.polls)
        yield rig.live(9_000.0)
        self.assertEqual((rig.channel.sources.current.priority, len(a.polls)), (1, polls))
        yield rig.live(21_000.0)
        self.assertEqual((rig.channel.sources.current.priority, rig.channel.sources.switches), (0, 2))
        self.assertGreaterEqual(len(a.probes), 5)
        yield wait_until(lambda: b.probes)  # it isn't to wait for this router
        self.assertEqual(rig.purged(), [1])

    @inlineCallbacks
    def test_a_source_that_starts_anew_under_another_epoch_tells_all_again(self) -> Any:
        rig, (a,) = yield self.begun("A")
        yield a.kill()
        a.number = 1
        a.events.clear()
        a.purges.clear()
        a.revive("A2")
        a.list_(6, c1="leaving").purge(2, 20)
        while len(a.polls) < 4:
            yield rig.live(100.0, 100.0)
        self.assertEqual((rig.listed()["c1"], rig.purged(), rig.epochs), ("DRAINING", [1, 2], 2))

    @inlineCallbacks
    def test_what_is_no_answer_of_a_source_is_a_reason_to_leave(self) -> Any:
        for way in ("404", "500"):
            rig, (a, b) = yield self.begun("A", "B")
            a.way = way
            a.release()
            yield rig.asked(b, 2)
            self.assertEqual(rig.purged(), [1])
            yield rig.stop()

    @inlineCallbacks
    def test_figures_and_the_configurations_own_channel(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        rig.channel.move(("127.0.0.1", 9))
        self.assertEqual(rig.channel.address, a.address)
        a.age_ms = 300
        rig.advance(500.0)
        a.release()
        yield rig.asked(a, 3)
        rig.advance(200.0)
        told = {"control_age_ms": 500, "control_source": 0, "control_moves": 0}
        self.assertEqual(rig.channel.figures(), told)
        yield a.kill()
        yield b.kill()
        yield rig.live(10_000.0, 100.0)
        self.assertGreater(rig.channel.figures()["control_age_ms"], 9_999)

    @inlineCallbacks
    def test_a_list_that_takes_several_turns_counts_once_it_has_come_whole(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        b.list_(9, **{f"shelf-of-a-long-name-{at}": "active" for at in range(3000)}).purge(2, 20)
        yield a.kill()
        yield rig.turned(lambda: len(b.polls) > 1)
        self.assertEqual((len(rig.listed()), rig.purged()), (3002, [1, 2]))
        self.assertEqual((rig.channel.follower.seq, rig.channel.sources.switches), (9, 1))

    @inlineCallbacks
    def test_a_long_list_that_comes_slowly_is_no_silence(self) -> Any:
        rig, (a, b) = yield self.begun("A", "B")
        b.list_(9, **{f"shelf-{at:040}": "active" for at in range(4000)})
        b.slow = True
        yield a.kill()
        yield wait_until(lambda: b.unsaid)
        b.slow, link, most = False, rig.channel.link, 66_000
        for start in range(0, len(b.unsaid), most):
            rig.advance(400.0)
            b.connections[-1].transport.write(b.unsaid[start : start + most])
            due = rig.now_ms + link.channel.silent_ms  # of what comes next, where this was progress
            yield rig.turned(lambda due=due: link.due == due or link.polls > 0)  # type: ignore[misc]
        self.assertEqual((len(rig.listed()), rig.channel.sources.switches), (4002, 1))

    @inlineCallbacks
    def test_whose_numbers_they_are_must_be_said_before_the_events_of_a_long_answer(self) -> Any:
        rig, (a, b, c) = yield self.begun("A", "B", "C")
        b.list_(9, **{f"shelf-of-a-long-name-{at}": "active" for at in range(3000)})
        b.head_last = True
        yield a.kill()
        yield rig.turned(lambda: len(c.polls) > 1)
        self.assertEqual((rig.listed(), len(b.polls)), ({"c1": "SERVING", "c2": "SERVING"}, 1))

    @inlineCallbacks
    def test_a_purge_of_a_time_to_come_hides_none_after_it(self) -> Any:
        rig, (a,) = yield self.begun("A")
        a.purge(1, 9_000_000_000_000)
        yield rig.asked(a, 3)
        a.purge(1, 8_000_000_000_000)
        yield rig.asked(a, 4)
        self.assertEqual(rig.purged(), [1, 1, 1])

    @inlineCallbacks
    def test_a_router_with_a_section_polls_its_sources_and_tells_their_figures(self) -> Any:
        source = ScriptedSource("A").list_(5, c1="active")
        self.addCleanup(source.kill)
        config = parse_config(json.dumps(CONFIG).encode(), {})
        extras = Extras(control=ControlSettings("r7", (source.address,)))
        service = Service(config, extras, reactor, Counters(), lambda: config)
        self.addCleanup(service.alarm.stop)
        service.state = Lifecycle.SERVING  # no fronts are opened
        service.channel.start()
        yield wait_until(lambda: len(source.polls) == 2)
        self.assertEqual((source.polls[1]["name"], source.polls[1]["epoch"]), ("r7", "A"))
        self.assertIn(b"router.control_source=0\n", service.admin_calls.metrics())
        service.reload()
        self.assertEqual(service.channel.address, source.address)
        service.channel.stopped = True
        service.channel.link.close("test")
        yield wait_until(lambda: service.channel.link is None)

    def test_without_a_section_nothing_of_it_is_there(self) -> None:
        config = parse_config(json.dumps(CONFIG).encode(), {})
        service = Service(config, Extras(), reactor, Counters(), lambda: config)
        self.addCleanup(service.alarm.stop)
        self.assertIs(type(service.channel), WatchClient)
        self.assertEqual(service.channel.target(1200.0), "/cmd/next?resume=0&block=1200")
        self.assertNotIn(b"control_", service.admin_calls.metrics())

    def test_a_name_that_can_not_stand_in_a_poll_is_refused(self) -> None:
        config = parse_config(json.dumps(CONFIG | {"name": "a b"}).encode(), {})
        extras = Extras(control=ControlSettings("", (("127.0.0.1", 9),)))
        with self.assertRaisesRegex(ConfigError, "control.name"):
            Service(config, extras, reactor, Counters(), lambda: config)
