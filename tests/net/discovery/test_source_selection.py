"""Selection of the source that a router polls, and switches between sources."""

from __future__ import annotations

from fakes.event_loop import Steps, wait_until
from twisted.internet.defer import inlineCallbacks

from tests.net.discovery.sources_environment import START_MS, SourcesTestCase

MAX_SWITCH_MS = 2000.0


class SourceSelectionTest(SourcesTestCase):
    @inlineCallbacks
    def test_a_killed_source_is_replaced_at_once_and_no_event_is_lost_or_repeated(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        second.publish_purge(2, 20).publish_list(6, c1="leaving").publish_purge(3, 30)
        first.publish_purge(2, 20)
        yield environment.wait_for_held_poll(first, 3)
        yield first.kill()
        yield environment.wait_for_held_poll(second, 2)
        assert environment.now_ms == START_MS  # no time has passed
        assert environment.purged_groups() == [1, 2, 3]
        assert environment.server_states()["c1"] == "DRAINING"
        assert (second.polls[0]["epoch"], second.polls[0]["resume"]) == ("A", "203")
        assert second.polls[1]["resume"] == "105"

    @inlineCallbacks
    def test_a_hung_source_is_replaced_in_time(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        first.is_hung = True
        hung_ms = environment.now_ms
        environment.advance(1299.0)
        assert (environment.polled_rank(), second.polls) == (0, [])
        environment.advance(1.0)
        yield environment.wait_for_held_poll(second, 2)
        assert environment.now_ms - hung_ms < MAX_SWITCH_MS

    @inlineCallbacks
    def test_a_complete_state_may_take_as_long_as_a_poll_and_longer_after_a_hung_source(self) -> Steps[None]:
        """Guards against a timeout that is too short for a relay which many routers poll at the same time.

        186 routers of a killed relay switched to the next one and gave it 501 ms for its state.  Then they
        switched again, so that several states were sent to each router.
        """
        environment = yield self.start("A", "B")
        first, second = environment.sources
        first.is_hung = True
        second.is_hung = True
        environment.advance(1300.0)
        yield environment.wait_for_held_poll(second, 1)
        environment.advance(1799.0)
        assert environment.polled_rank() == 1
        environment.advance(802.0)
        selector = environment.watch.selector
        assert selector.current != selector.sources[second.address]

    @inlineCallbacks
    def test_a_delayed_process_reads_its_sockets_before_it_switches_sources(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        environment.now_ms += 60_000.0
        first.publish_purge(7, 70)
        environment.deadlines.run_due(environment.now_ms)  # before any socket is read
        yield wait_until(lambda: 7 in environment.purged_groups())
        assert (environment.polled_rank(), second.polls) == (0, [])

    @inlineCallbacks
    def test_a_source_that_rejects_polls_is_replaced_and_notified(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        first.status = 503
        first.answer_held_poll()
        yield environment.wait_for_held_poll(second, 2)
        assert (environment.now_ms, first.probes) == (START_MS, [])
        yield environment.run_for(2000.0)
        assert first.probes  # the notice that it must not wait for this router
        assert first.probes[0]["name"] == "r1"

    @inlineCallbacks
    def test_a_source_that_responds_with_an_error_status_is_replaced(self) -> Steps[None]:
        for status in (404, 500):
            environment = yield self.start("A", "B")
            first, second = environment.sources
            first.status = status
            first.answer_held_poll()
            yield environment.wait_for_held_poll(second, 2)
            assert environment.purged_groups() == [1]
            yield environment.stop()

    @inlineCallbacks
    def test_a_truncated_response_changes_nothing(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        second.publish_list(6, c1="leaving").publish_purge(2, 20)
        first.truncates_next_response = True
        first.publish_list(6, c1="leaving").publish_purge(2, 20)
        yield environment.wait_for_held_poll(second, 2)
        assert environment.purged_groups() == [1, 2]
        assert environment.server_states()["c1"] == "DRAINING"

    @inlineCallbacks
    def test_a_lagging_source_is_replaced_by_a_fresher_one(self) -> Steps[None]:
        environment = yield self.start("A", "B", "C")
        first, second, third = environment.sources
        first.age_ms = 2500
        second.age_ms = 2400
        third.age_ms = 300
        first.answer_held_poll()
        yield environment.wait_for_held_poll(third, 2)
        assert (environment.now_ms, len(second.probes), second.polls) == (START_MS, 1, [])
        yield wait_until(lambda: len(first.probes) == 1)

    @inlineCallbacks
    def test_the_freshest_source_is_polled_if_all_lag(self) -> Steps[None]:
        environment = yield self.start("A", "B", "C")
        first, second, third = environment.sources
        first.age_ms = 9000
        second.age_ms = 4000
        third.age_ms = 6000
        first.answer_held_poll()
        yield environment.wait_for_held_poll(second, 2)
        yield environment.run_for(30_000.0)
        assert (environment.polled_rank(), environment.watch.selector.switches) == (1, 1)
        assert third.polls == []
        assert len(third.probes) < 12

    @inlineCallbacks
    def test_the_known_state_is_kept_while_all_sources_are_down(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        yield first.kill()
        yield environment.wait_for_held_poll(second, 2)
        yield second.kill()
        yield environment.run_for(20_000.0, 100.0)
        assert environment.server_states() == {"c1": "SERVING", "c2": "SERVING"}
        second.listen_again("B2")
        second.expire_purges()
        second.publish_purge(2, 20)
        restarted_ms = environment.now_ms
        polls = len(second.polls)
        while len(second.polls) < polls + 2:
            yield environment.run_for(100.0, 100.0)
        assert environment.now_ms - restarted_ms < MAX_SWITCH_MS
        assert environment.purged_groups() == [1, 2]

    @inlineCallbacks
    def test_the_first_source_is_polled_again_once_its_probes_were_answered(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        yield first.kill()
        yield environment.wait_for_held_poll(second, 2)
        first.listen_again("A2")
        first.expire_purges()
        polls = len(first.polls)
        yield environment.run_for(9_000.0)
        assert (environment.polled_rank(), len(first.polls)) == (1, polls)
        yield environment.run_for(21_000.0)
        assert (environment.polled_rank(), environment.watch.selector.switches) == (0, 2)
        assert len(first.probes) >= 5
        yield wait_until(lambda: second.probes)  # the notice that it must not wait for this router
        assert environment.purged_groups() == [1]
