"""Polls that a router sends to several sources, and the events that it delivers from their responses."""

from __future__ import annotations

from fakes.event_loop import Steps, wait_until
from twisted.internet.defer import inlineCallbacks

from tests.net.discovery.scripted_source import ScriptedSource
from tests.net.discovery.sources_environment import SourcesEnvironment, SourcesTestCase
from thornjunction.net.discovery.watch_connection import WatchConnection

BOTH_SERVING = {"c1": "SERVING", "c2": "SERVING"}
BOTH_DRAINING = {"c1": "DRAINING", "c2": "DRAINING"}
SENT_BYTES = 66_000
SEND_INTERVAL_MS = 400.0


def publish_long_list(source: ScriptedSource, seq: int) -> ScriptedSource:
    """Publish a list so long that its response is applied in several iterations."""
    return source.publish_list(seq, **{f"shelf-of-a-long-name-{number}": "active" for number in range(3000)})


class MultiSourceWatchTest(SourcesTestCase):
    @inlineCallbacks
    def test_polls_name_their_epoch_and_their_sender(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first = environment.sources[0]
        assert first.polls[0] == {"resume": "0", "block": "1", "as": "router", "name": "r1"}
        second_poll = {"resume": "202", "block": "800", "epoch": "A", "as": "router", "name": "r1"}
        assert first.polls[1] == second_poll
        assert (environment.server_states(), environment.purged_groups()) == (BOTH_SERVING, [1])
        assert (environment.new_epochs, environment.synchronizations) == (1, 1)
        assert environment.confirmations == [(0.0, 202)]

    @inlineCallbacks
    def test_an_older_state_cancels_neither_drains_nor_purges(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        first.publish_list(6, c1="leaving").publish_list(7, c2="leaving").publish_purge(1, 15)
        yield environment.wait_for_held_poll(first, 3)
        second.age_ms = 400
        yield first.kill()
        yield environment.wait_for_held_poll(second, 2)
        assert (environment.server_states(), environment.purged_groups()) == (BOTH_DRAINING, [1, 1])
        second.publish_list(6, c1="leaving")
        yield environment.wait_for_held_poll(second, 3)
        assert environment.server_states() == BOTH_DRAINING
        second.publish_list(7, c2="leaving").publish_purge(4, 40).publish_list(8, c1="active")
        yield environment.wait_for_held_poll(second, 5)
        assert environment.server_states() == BOTH_DRAINING | {"c1": "SERVING"}
        assert environment.purged_groups() == [1, 1, 4]

    @inlineCallbacks
    def test_a_discovery_with_an_earlier_state_is_followed_once_that_is_certain(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        second.forget_list()
        second.publish_list(1, c3="active")
        yield first.kill()
        yield environment.wait_for_held_poll(second, 2)
        assert set(environment.server_states()) == {"c1", "c2"}
        yield environment.run_for(1300.0)
        assert environment.server_states() == {"c3": "SERVING"}

    @inlineCallbacks
    def test_only_the_final_list_of_the_history_of_a_plain_discovery_is_delivered(self) -> Steps[None]:
        environment = yield self.start("A", "")
        relay, discovery = environment.sources
        discovery.publish_list(6, c1="leaving").publish_list(7, c1="active")
        yield relay.kill()
        yield environment.wait_for_held_poll(discovery, 3)
        assert [poll["resume"] for poll in discovery.polls] == ["202", "0", "104"]
        assert "epoch" not in discovery.polls[1]
        lists = [event for event in environment.received_events if hasattr(event, "hosts")]
        assert len(lists) == 2
        assert (environment.server_states(), environment.purged_groups()) == (BOTH_SERVING, [1])

    @inlineCallbacks
    def test_a_source_that_restarts_under_another_epoch_sends_its_complete_state(self) -> Steps[None]:
        environment = yield self.start("A")
        (source,) = environment.sources
        yield source.kill()
        source.restart_at(1)
        source.listen_again("A2")
        source.publish_list(6, c1="leaving").publish_purge(2, 20)
        while len(source.polls) < 4:
            yield environment.run_for(100.0, 100.0)
        assert environment.server_states()["c1"] == "DRAINING"
        assert (environment.purged_groups(), environment.new_epochs) == ([1, 2], 2)

    @inlineCallbacks
    def test_a_purge_issued_in_the_future_does_not_hide_later_purges(self) -> Steps[None]:
        environment = yield self.start("A")
        (source,) = environment.sources
        source.publish_purge(1, 9_000_000_000_000)
        yield environment.wait_for_held_poll(source, 3)
        source.publish_purge(1, 8_000_000_000_000)
        yield environment.wait_for_held_poll(source, 4)
        assert environment.purged_groups() == [1, 1, 1]

    @inlineCallbacks
    def test_a_list_that_takes_several_turns_is_delivered_once_it_is_complete(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        publish_long_list(second, 9).publish_purge(2, 20)
        yield first.kill()
        yield environment.wait_until_due(lambda: len(second.polls) > 1)
        assert (len(environment.server_states()), environment.purged_groups()) == (3002, [1, 2])
        assert environment.watch.feed.follower.seq == 9
        assert environment.watch.selector.switches == 1

    @inlineCallbacks
    def test_a_long_list_that_arrives_slowly_does_not_time_out(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        second.publish_list(9, **{f"shelf-{number:040}": "active" for number in range(4000)})
        second.keeps_next_response = True
        yield first.kill()
        yield wait_until(lambda: second.kept_response)
        second.keeps_next_response = False
        yield self.send_slowly(environment, second)
        assert len(environment.server_states()) == 4002
        assert environment.watch.selector.switches == 1

    @inlineCallbacks
    def send_slowly(self, environment: SourcesEnvironment, source: ScriptedSource) -> Steps[None]:
        """Send the kept response in parts, each of which restarts the timeout."""
        connection: WatchConnection = environment.watch.connection
        for start in range(0, len(source.kept_response), SENT_BYTES):
            environment.advance(SEND_INTERVAL_MS)
            source.connections[-1].transport.write(source.kept_response[start : start + SENT_BYTES])
            due_ms = environment.now_ms + connection.timings.response_grace_ms
            yield environment.wait_until_due(
                lambda due_ms=due_ms: connection.response_due_ms == due_ms or connection.polls > 0
            )

    @inlineCallbacks
    def test_a_long_response_must_name_its_epoch_before_its_events(self) -> Steps[None]:
        environment = yield self.start("A", "B", "C")
        first, second, third = environment.sources
        publish_long_list(second, 9)
        second.sends_head_last = True
        yield first.kill()
        yield environment.wait_until_due(lambda: len(third.polls) > 1)
        assert (environment.server_states(), len(second.polls)) == (BOTH_SERVING, 1)

    @inlineCallbacks
    def test_metrics_report_the_age_the_source_and_the_switches(self) -> Steps[None]:
        environment = yield self.start("A", "B")
        first, second = environment.sources
        watch = environment.watch
        watch.change_address(("127.0.0.1", 9))  # the configuration's own address is not used
        assert watch.address == first.address
        first.age_ms = 300
        environment.advance(500.0)
        first.answer_held_poll()
        yield environment.wait_for_held_poll(first, 3)
        environment.advance(200.0)
        expected = {"control_age_ms": 500, "control_source": 0, "control_moves": 0}
        assert watch.metrics() == expected
        yield first.kill()
        yield second.kill()
        yield environment.run_for(10_000.0, 100.0)
        assert watch.metrics()["control_age_ms"] > 9999
