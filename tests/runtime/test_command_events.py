"""Which events of the command channel are fed to the decisions."""

from __future__ import annotations

import time
from unittest.mock import patch

from tests.net.discovery.test_watch import service_of
from thornjunction.net.wire.commands import Purge


def test_purges_whose_hold_has_passed_are_not_fed_to_the_decisions() -> None:
    service = service_of()
    propagation_ms = service.config.settings.purge_propagation_ms
    now_unix_ms = time.time() * 1000.0
    ages_ms = (propagation_ms + 3_600_000.0, propagation_ms + 1000.0, propagation_ms - 1000.0)
    with patch.object(service.engine, "feed") as feed:
        for cursor, age_ms in enumerate(ages_ms, start=1):
            service.handle_command(Purge(cursor, cursor, 0, now_unix_ms - age_ms))
    assert [call.args[0].key for call in feed.call_args_list] == [3]
    service.alarm.stop()
