"""This router as a member of its fleet: the membership machine on its UDP port, its log lines, and the
operators' view.  Imported only where the operators' file has a ``[fleet]`` section."""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any

from fleet_membership import Membership, MembershipSettings
from gossip_transport import DatagramEndpoint
from sansio_core import Notice
from twisted.internet.error import CannotListenError

from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.alarm import core_ms
from thornjunction.net.wire.operators import encode_lines
from thornjunction.runtime.addresses import check_name
from thornjunction.runtime.config import ConfigError
from thornjunction.runtime.fleet_settings import FleetSettings
from thornjunction.runtime.incarnation import next_incarnation

AGAIN_MS = 500.0  # between attempts to bind: the process that this one replaces may still hold the port
NOTED = "member", "link", "majority", "mode", "paused"

log = get_logger(__name__)


class Fleet:
    """One member.  ConfigError where the machine does not take the settings."""

    def __init__(self, told: FleetSettings, name: str, deadlines: Deadlines) -> None:
        self.told, self.deadlines = told, deadlines
        self.name = told.name or name
        check_name("fleet", self.name)
        incarnation = next_incarnation(told.data, told.fleet, self.name, lambda: time.time() * 1000.0)
        try:
            settings = MembershipSettings(
                name=self.name,
                address=told.advertise,
                fleet=told.fleet,
                secret=told.secret,
                seeds=told.seeds,
                voters=told.voters,
                incarnation=incarnation,
                **told.timings,  # type: ignore[arg-type]
            )
        except (TypeError, ValueError) as error:
            raise ConfigError(f"fleet, fleet.timings: {error}") from error
        self.machine = Membership(settings, random.SystemRandom().random)
        self.port = DatagramEndpoint(self.machine, core_ms, self._schedule, self._note)
        self.refused, self.waits = Counter[str](), 0
        self._bound: Any = None

    def listen(self, reactor: Any) -> None:
        """Bind and join; where the port is taken, try again until it is free or this process leaves."""
        if self.port.closed:
            return
        try:
            self._bound = self.port.listen(reactor, self.told.listen)
        except CannotListenError as error:
            self.waits += 1
            if self.waits.bit_count() == 1:
                log.error("fleet-waits", reason=str(error.socketError), times=self.waits)
            self._schedule(AGAIN_MS, lambda: self.listen(reactor))
            return
        where = self._bound.getHost()
        log.info("fleet-listening", name=self.name, host=where.host, port=where.port)

    def leave(self) -> None:
        """Say so to the others and free the port, for the process that comes next."""
        self.port.shut_down()
        if self._bound is not None:
            self._bound.stopListening()

    def view(self) -> bytes:
        """The operators' call ``fleet``."""
        view = self.machine.view(core_ms())
        lines = [
            f"member {name} {member.state.name.lower()} {member.incarnation}"
            for name, member in sorted(view.members.items())
        ]
        return encode_lines([*lines, f"mode {view.mode.value}", f"majority {int(view.has_majority)}"])

    def _schedule(self, in_ms: float, call: Any) -> object:
        return self.deadlines.add(core_ms() + in_ms, call)

    def _note(self, told: Notice) -> None:
        if told.name in NOTED:
            log.info(told.name, **told.fields)
        elif told.name == "refused":
            why = str(told.fields.get("why"))
            self.refused[why] += 1
            if self.refused[why].bit_count() == 1:  # the 1st, 2nd, 4th, 8th...: a flood logs little
                log.warning("refused", **told.fields, times=self.refused[why])
