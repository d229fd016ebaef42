"""A hollow router: the real ``Service`` with its channel, decisions, list and purge handling, and membership
where that is on, and no data side: it never opens a front, and its shelfs are never dialled."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from fleet_scale.event_log import digest
from fleet_scale.plan import change_of
from fleet_scale.tally import Seen, Tally
from thornjunction.core.counters import Counters
from thornjunction.net.wire.commands import Command, Purge
from thornjunction.runtime.addresses import Address
from thornjunction.runtime.config import Config
from thornjunction.runtime.extras import Extras
from thornjunction.runtime.fleet_settings import FleetSettings
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.service import Service

SECRET = b"the secret of a fleet that stands on one machine"


class CountingReactor:
    """The reactor, with the bytes and writes of all connections that are dialled through it counted:
    ``bytes_in``, ``bytes_out``, ``polls`` (writes), ``dials``, ``ends``."""

    def __init__(self, reactor: Any, counts: Counter[str]) -> None:
        self._reactor, self._counts = reactor, counts

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def connectTCP(self, host: str, port: int, factory: Any, *more: Any, **named: Any) -> Any:  # noqa: N802
        build, self._counts["dials"] = factory.buildProtocol, self._counts["dials"] + 1
        factory.buildProtocol = lambda address: self._counted(build(address))
        return self._reactor.connectTCP(host, port, factory, *more, **named)

    def _counted(self, built: Any) -> Any:
        counts, received = self._counts, built.dataReceived
        connect, lost = built.makeConnection, built.connectionLost

        def data_received(data: bytes) -> None:
            counts["bytes_in"] += len(data)
            received(data)

        def make_connection(transport: Any) -> None:
            write = transport.write

            def counted_write(data: bytes) -> None:
                counts["polls"] += 1
                counts["bytes_out"] += len(data)
                write(data)

            transport.write = counted_write
            connect(transport)

        def connection_lost(*reason: Any) -> None:
            counts["ends"] += 1
            lost(*reason)

        built.dataReceived, built.makeConnection = data_received, make_connection
        built.connectionLost = connection_lost
        return built


class HollowRouter(Service):
    """One of many in this process."""

    def __init__(self, config: Config, extras: Extras | None, reactor: Any, tally: Tally) -> None:
        super().__init__(config, extras, reactor, Counters(), lambda: config)
        self.tally, self.seen = tally, Seen()
        self.members: dict[str, tuple[str, float]] = {}  # last told of each: its state, when (s)
        self.verdicts: list[tuple[float, str]] = []  # who was told failed, when
        if self.fleet is not None:
            note, self.fleet.port.on_notice = self.fleet.port.on_notice, self._told
            self._note = note

    def begin_serving(self) -> None:
        """No front, no watch on the event loop; the fleet's port is real."""
        if self.state is Lifecycle.STARTING:
            self.state = Lifecycle.SERVING
            if self.fleet is not None:
                self.fleet.listen(self.reactor)

    def handle_command(self, command: Command) -> None:
        super().handle_command(command)
        now = time.monotonic()
        if isinstance(command, Purge):
            if command.key is not None and self.seen.add(command.key):
                self.tally.taken(self.tally.purges, command.key, now)
        elif not command.is_complete:
            for host in command.hosts:
                self.tally.taken(self.tally.changes, change_of(host.weight), now)

    def _told(self, told: Any) -> None:
        if told.name == "member":
            name, state = str(told.fields["name"]), str(told.fields["state"])
            self.members[name] = state, time.monotonic()
            if state == "failed":
                self.verdicts.append((time.monotonic(), name))
        else:
            self._note(told)

    def digest(self) -> str:
        """Of the list as the decisions hold it."""
        return digest(
            {name: one.entry.weight for name, one in self.router.placement.server_list.servers.items()}
        )

    def end(self) -> None:
        """Gone at once, as a process that was killed: nothing is said to anybody."""
        self.state = Lifecycle.STOPPED
        self.channel.stop()
        if self.channel.connection is not None:
            self.channel.connection.transport.abortConnection()
        if self.fleet is not None:
            self.fleet.port.closed = True
            self.fleet.close()
        self.alarm.stop()

    def sever(self) -> None:
        """Its connection is reset."""
        if self.channel.connection is not None:
            self.channel.connection.transport.abortConnection()


def fleet_settings(told: Mapping[str, Any], name: str, folder: Path) -> FleetSettings:
    """From a line of JSON: where this one listens, whom it asks, and who votes."""
    data = folder / name
    data.mkdir(parents=True, exist_ok=True)
    at = Address(str(told["listen"][0]), int(told["listen"][1]))
    return FleetSettings(
        listen=at,
        advertise=at,
        name=name,
        fleet="scale",
        secret=SECRET,
        seeds=tuple(Address(str(host), int(port)) for host, port in told["seeds"]),
        voters=tuple(told["voters"]),
        data=data,
        timings=dict(told.get("timings", {})),
    )


Build = Callable[[], HollowRouter]
