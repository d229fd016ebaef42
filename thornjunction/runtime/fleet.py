"""Fleet membership of this router: its UDP port, its log events and its call of the admin endpoint.

This module is imported only if the operators' file has a ``[fleet]`` section.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable

from fleet_membership import Membership, MembershipSettings
from gossip_transport import DatagramEndpoint
from sansio_core import Notice
from twisted.internet.error import CannotListenError

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import is_power_of_two
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.ports import ListeningPort, Reactor
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.wire.admin import encode_lines
from thornjunction.runtime.addresses import check_name
from thornjunction.runtime.errors import FaultyKeyError
from thornjunction.runtime.fleet_settings import FleetSettings
from thornjunction.runtime.incarnation import next_incarnation

# Time between attempts to bind the port, which the process that this one replaces may still hold.
BIND_RETRY_MS = 500.0

# Log events by the names of the membership's notices; ``refused`` is logged separately, and less often.
EVENTS_BY_NOTICE = {
    "member": LogEvent.FLEET_MEMBER_CHANGED,
    "link": LogEvent.FLEET_LINK_CHANGED,
    "majority": LogEvent.FLEET_MAJORITY_CHANGED,
    "mode": LogEvent.FLEET_MODE_CHANGED,
    "paused": LogEvent.FLEET_PROCESS_PAUSED,
}

# Names in the error message if the membership refuses a value: it may be in either of these sections.
SECTIONS = "fleet, fleet.timings"

log = get_logger(__name__)


class FleetMember:
    """This router's fleet membership and the UDP port that it uses.

    Raises:
        ConfigError: the membership refuses the settings.
    """

    def __init__(self, settings: FleetSettings, router_name: str, deadlines: Deadlines) -> None:
        self.name = settings.name or router_name
        check_name("fleet", self.name)
        self.membership = Membership(_membership_settings(settings, self.name), random.SystemRandom().random)
        self.endpoint = DatagramEndpoint(self.membership, core_ms, self._schedule, self._log_notice)
        self._settings = settings
        self._deadlines = deadlines
        self._rejected = Counter[str]()
        self._failed_binds = 0
        self._port: ListeningPort | None = None

    def listen(self, reactor: Reactor) -> None:
        """Bind the port and join the fleet; retry a failed bind until it succeeds or this member leaves."""
        if self.endpoint.closed:
            return
        try:
            self._port = self.endpoint.listen(reactor, self._settings.listen)
        except CannotListenError as error:
            self._failed_binds += 1
            if is_power_of_two(self._failed_binds):
                log.error(  # noqa: TRY400  a traceback would add nothing
                    LogEvent.FLEET_BIND_FAILED, cause=str(error.socketError), failures=self._failed_binds
                )
            self._schedule(BIND_RETRY_MS, lambda: self.listen(reactor))
            return
        address = self._port.getHost()
        log.info(LogEvent.FLEET_LISTENING, name=self.name, host=address.host, port=address.port)

    def leave(self) -> None:
        """Leave the fleet and close the port, so that this process's successor can bind it."""
        self.endpoint.shut_down()
        self.close()

    def close(self) -> None:
        """Close the port without notifying the other members."""
        if self._port is not None:
            self._port.stopListening()

    def view(self) -> bytes:
        """Return the reply to the admin endpoint's call ``fleet``: members, partition mode and majority."""
        view = self.membership.view(core_ms())
        members = [
            f"member {name} {member.state.name.lower()} {member.incarnation}"
            for name, member in sorted(view.members.items())
        ]
        return encode_lines([*members, f"mode {view.mode.value}", f"majority {int(view.has_majority)}"])

    def _schedule(self, delay_ms: float, call: Callable[[], None]) -> object:
        return self._deadlines.add(core_ms() + delay_ms, call)

    def _log_notice(self, notice: Notice) -> None:
        event = EVENTS_BY_NOTICE.get(notice.name)
        if event is not None:
            log.info(event, **notice.fields)
        elif notice.name == "refused":
            reason = str(notice.fields.get("cause"))
            self._rejected[reason] += 1
            if is_power_of_two(self._rejected[reason]):
                count = self._rejected[reason]
                log.warning(LogEvent.FLEET_DATAGRAM_REJECTED, **notice.fields, count=count)


def _membership_settings(settings: FleetSettings, name: str) -> MembershipSettings:
    incarnation = next_incarnation(settings.data, settings.fleet, name, lambda: time.time() * 1000.0)
    try:
        return MembershipSettings(
            name=name,
            address=settings.advertise,
            fleet=settings.fleet,
            secret=settings.secret,
            seeds=settings.seeds,
            voters=settings.voters,
            incarnation=incarnation,
            **settings.timings,  # type: ignore[arg-type]
        )
    except (TypeError, ValueError) as error:
        raise FaultyKeyError(SECTIONS, error) from error
