"""A hollow router: the control plane of a request router, without requests (a term of kubemark)."""

from __future__ import annotations

import time
from pathlib import Path

from sansio_core import Notice

from fleet_scale.event_counters import DeliveryCounters, ReceivedPurges
from fleet_scale.event_plan import EventKind, change_of_weight
from fleet_scale.messages import MemberSettings
from fleet_scale.worker.counting_reactor import CountingReactor
from fleet_scale.worker.event_log import list_digest
from thornjunction.core.counters import Counters
from thornjunction.net.wire.commands import Command, Purge
from thornjunction.runtime.config import Config
from thornjunction.runtime.extras import Extras
from thornjunction.runtime.fleet_settings import FleetSettings
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.service import Service

FLEET_NAME = "scale"
# The secret of all members of a run, all of which are on this machine.
FLEET_SECRET = b"the secret of a fleet that stands on one machine"
# The notice about a change of a member's state, and the state of a failed member.
MEMBER_NOTICE = "member"
FAILED_STATE = "failed"


class HollowRouter(Service):
    """The real ``Service`` with its command channel, decisions, endpoint list, purges and membership.

    It opens no front and connects to no cache server.
    """

    def __init__(
        self,
        config: Config,
        extras: Extras | None,
        reactor: CountingReactor,
        deliveries: DeliveryCounters,
    ) -> None:
        super().__init__(config, extras, reactor, Counters(), lambda: config)
        self._deliveries = deliveries
        self.purges = ReceivedPurges()
        self.member_states: dict[str, str] = {}
        self.declared_failed: set[str] = set()
        if self.fleet is not None:
            self._log_notice = self.fleet.endpoint.on_notice
            self.fleet.endpoint.on_notice = self._handle_notice

    def begin_serving(self) -> None:
        """Enter the serving state without opening a front or measuring load; only membership listens."""
        if self.state is Lifecycle.STARTING:
            self.state = Lifecycle.SERVING
            if self.fleet is not None:
                self.fleet.listen(self.reactor)

    def handle_command(self, command: Command) -> None:
        """Handle a command as a router does, and record its delivery."""
        super().handle_command(command)
        now_s = time.monotonic()
        if isinstance(command, Purge):
            if command.key is not None and self.purges.add(command.key):
                self._deliveries.record(EventKind.PURGE, command.key, now_s)
        elif not command.is_complete:
            for host in command.hosts:
                self._deliveries.record(EventKind.CHANGE, change_of_weight(host.weight), now_s)

    def _handle_notice(self, notice: Notice) -> None:
        """Record the state of a member from its notice; log every other notice."""
        if notice.name != MEMBER_NOTICE:
            self._log_notice(notice)
            return
        name = str(notice.fields["name"])
        state = str(notice.fields["state"])
        self.member_states[name] = state
        if state == FAILED_STATE:
            self.declared_failed.add(name)

    @property
    def is_connected(self) -> bool:
        """Whether the command channel has a connection."""
        return self.channel.connection is not None

    def list_digest(self) -> str:
        """Return the digest of the endpoint list that the decisions use."""
        servers = self.router.state.placement.server_list.servers
        return list_digest({name: server.entry.weight for name, server in servers.items()})

    def end(self) -> None:
        """Stop abruptly, like a killed process: no peer is notified."""
        self.state = Lifecycle.STOPPED
        self.channel.stop()
        self.reset_connection()
        if self.fleet is not None:
            self.fleet.endpoint.closed = True
            self.fleet.close()
        self.timer_service.stop()

    def reset_connection(self) -> None:
        """Reset the connection of the command channel, if there is one."""
        if self.channel.connection is not None:
            self.channel.connection.transport.abortConnection()


def build_fleet_settings(member: MemberSettings, name: str, folder: Path) -> FleetSettings:
    """Return the settings of a member, whose files are in a subfolder of ``folder``."""
    data_folder = folder / name
    data_folder.mkdir(parents=True, exist_ok=True)
    return FleetSettings(
        listen=member.listen,
        advertise=member.listen,
        name=name,
        fleet=FLEET_NAME,
        secret=FLEET_SECRET,
        seeds=member.seeds,
        voters=member.voters,
        data=data_folder,
        timings=dict(member.timings),
    )
