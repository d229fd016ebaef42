"""The ``[fleet]`` section of the operators' file, the stored incarnation, and a router as a fleet member."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
from gossip_transport import EndpointCounters
from sansio_core import Notice
from twisted.internet.address import IPv4Address
from twisted.internet.error import CannotListenError

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.runtime import fleet, incarnation
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import load_extras
from thornjunction.runtime.incarnation import INCARNATION_STEP, next_incarnation

COMPLETE_SECTION: dict[str, Any] = {
    "listen": "127.0.0.1:8500",
    "fleet": "north",
    "secret_file": "key",
    "seeds": ["127.0.0.1:8501"],
    "voters": ["r1", "r2", "r3"],
    "data": "data",
}


def toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml(inner)}" for key, inner in value.items()) + "}"
    return json.dumps(value)


def write_operators_file(folder: Path, secret: bytes = b"s" * 32, **changes: Any) -> Path:
    """Write an operators' file with ``COMPLETE_SECTION`` and these changes; None removes a key."""
    settings = COMPLETE_SECTION | changes
    lines = ["[fleet]", *(f"{key} = {toml(value)}" for key, value in settings.items() if value is not None)]
    (folder / "key").write_bytes(secret)
    path = folder / "extras.toml"
    path.write_text(
        "\n".join(lines).replace("True", "true").replace("{'", "{").replace("':", " =").replace(", '", ", ")
    )
    return path


def test_a_complete_section_is_accepted(tmp_path: Path) -> None:
    settings = load_extras(
        write_operators_file(tmp_path, timings={"probe_every_ms": 200.5, "indirect": 2})
    ).fleet
    assert settings is not None
    assert settings.advertise == settings.listen == ("127.0.0.1", 8500)
    assert (settings.fleet, settings.name, settings.data) == ("north", "", tmp_path / "data")
    assert settings.timings == {"probe_every_ms": 200.5, "indirect": 2}
    assert settings.voters == ("r1", "r2", "r3")
    assert "sss" not in repr(settings)


@pytest.mark.parametrize(
    ("changes", "named_key"),
    [
        ({"listen": "10.0.0.4:8500"}, "fleet.listen"),
        ({"listen": "0.0.0.0:8500", "private": True}, "fleet.listen"),
        ({"listen": "127.0.0.1:0"}, "fleet.listen"),
        ({"listen": "10.0.0.4:0", "advertise": "127.0.0.1:8500"}, "fleet.listen"),
        ({"seeds": ["8.8.8.8:1"], "private": True}, "fleet.seeds"),
        ({"secret": b"s" * 31}, "fleet.secret_file"),
        ({"secret_file": "none"}, "fleet.secret_file"),
        ({"voters": ["r1", "r1"]}, "fleet.voters"),
        ({"voters": []}, "fleet.voters"),
        ({"fleet": None}, "fleet"),
        ({"fleet": "two words"}, "'two words'"),
        ({"name": "x" * 33}, "a name is"),
        ({"timings": {"probe_every_ms": 0}}, "fleet.timings.probe_every_ms"),
        ({"timings": {"indirect": "x"}}, "timings.indirect"),
    ],
)
def test_an_error_names_the_faulty_key_of_the_section(
    changes: dict[str, Any], named_key: str, tmp_path: Path
) -> None:
    with pytest.raises(ConfigError, match=re.escape(named_key)):
        load_extras(write_operators_file(tmp_path, **changes))


def test_private_addresses_are_accepted_only_if_the_file_allows_them(tmp_path: Path) -> None:
    path = write_operators_file(tmp_path, listen="10.0.0.4:8500", private=True, advertise="10.0.0.5:8501")
    settings = load_extras(path).fleet
    assert settings is not None
    assert (settings.listen, settings.advertise) == (("10.0.0.4", 8500), ("10.0.0.5", 8501))


def choose_incarnation(folder: Path, now: float = 5e6, fleet: str = "north", name: str = "r1") -> int:
    return next_incarnation(folder, fleet, name, lambda: now)


def test_each_start_has_a_higher_incarnation(tmp_path: Path) -> None:
    """This holds even if the clock did not advance or was set back, so the stored one must have been read."""
    folder = tmp_path / "data"
    first, second, third, fourth = (choose_incarnation(folder, now) for now in (5e6, 5e6, 4e6, 9e6))
    assert (first, second, third, fourth) == (
        5_000_000,
        first + INCARNATION_STEP,
        second + INCARNATION_STEP,
        9_000_000,
    )


# Ways to make a stored incarnation unusable, by the reason that the error gives.
CORRUPTIONS: dict[str, Any] = {
    "missing": lambda path: path.unlink(),
    "torn": lambda path: path.write_bytes(path.read_bytes()[:20]),
    "of another": lambda path: choose_incarnation(path.parent, 1e9, name="r2"),
    "of format": lambda path: incarnation._write(
        path, {"format": 2, "fleet": "", "name": "", "incarnation": 1}
    ),
    "not an inc": lambda path: incarnation._write(path, {"format": 1}),
}


@pytest.mark.parametrize("reason", CORRUPTIONS)
def test_for_an_unusable_file_the_reason_is_given_and_the_wall_clock_is_used(
    reason: str, tmp_path: Path
) -> None:
    choose_incarnation(tmp_path, 5e6)
    CORRUPTIONS[reason](tmp_path / "incarnation")
    with pytest.raises(incarnation.IncarnationError, match=re.escape(reason)):
        incarnation._read(tmp_path / "incarnation", incarnation.IncarnationOwner("north", "r1"))
    assert choose_incarnation(tmp_path, 6e6) == 6_000_000
    assert choose_incarnation(tmp_path, 6e6) == 6_000_000 + INCARNATION_STEP


def test_a_folder_that_cannot_be_written_does_not_prevent_the_start(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    assert choose_incarnation(tmp_path / "file", 6e6) == 6_000_000


class FakeUdpReactor:
    """Opens one UDP port, after ``refusals`` attempts at which the port is in use."""

    def __init__(self, refusals: int = 0) -> None:
        self.refusals = refusals
        self.listen_count = 0
        self.sent = list[tuple[bytes, Any]]()
        self.closed = False

    def listenUDP(self, port: int, protocol: Any, **_: Any) -> FakeUdpReactor:  # noqa: N802
        self.listen_count += 1
        if self.listen_count <= self.refusals:
            raise CannotListenError("127.0.0.1", port, OSError("taken"))
        protocol.makeConnection(self)
        return self

    def getHost(self) -> Any:  # noqa: N802
        return IPv4Address("UDP", "127.0.0.1", 8500)

    def write(self, data: bytes, to: Any) -> None:
        self.sent.append((data, to))

    def stopListening(self) -> None:  # noqa: N802
        self.closed = True


class LoggedMember:
    """A router's fleet membership on a fake reactor, and the log events that it writes."""

    def __init__(
        self, folder: Path, monkeypatch: pytest.MonkeyPatch, refusals: int = 0, **changes: Any
    ) -> None:
        self.log = Mock()
        self.reactor = FakeUdpReactor(refusals)
        self.deadlines = Deadlines()
        monkeypatch.setattr(fleet, "log", self.log)
        settings = load_extras(write_operators_file(folder, **changes)).fleet
        assert settings is not None
        self.fleet = fleet.FleetMember(settings, "r1", self.deadlines)
        self.fleet.listen(self.reactor)

    def logged(self, event: str) -> list[dict[str, Any]]:
        calls = self.log.info.call_args_list + self.log.warning.call_args_list
        return [call.kwargs for call in calls if call.args[0] == event]


def test_a_router_joins_and_leaves(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    member = LoggedMember(tmp_path, monkeypatch)
    assert {to for _, to in member.reactor.sent} == {("127.0.0.1", 8501)}
    lines = member.fleet.view().decode().splitlines()
    own_incarnation = member.fleet.membership.view(core_ms()).members["r1"].incarnation
    assert lines == ["ACK", f"member r1 alive {own_incarnation}", "mode rejoining", "majority 0", "--"]
    member.fleet.leave()
    assert member.reactor.closed
    assert member.logged("fleet_member_changed")[-1]["state"] == "left"


def test_binding_is_retried_while_another_process_holds_the_port(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    member = LoggedMember(tmp_path, monkeypatch, refusals=2)
    for _ in range(2):
        assert not member.reactor.sent
        member.deadlines.run_due(core_ms() + fleet.BIND_RETRY_MS)
    assert member.reactor.sent
    assert len(member.logged("fleet_listening")) == 1
    leaving = LoggedMember(tmp_path, monkeypatch, refusals=9)
    leaving.fleet.leave()
    leaving.deadlines.run_due(core_ms() + fleet.BIND_RETRY_MS)
    assert leaving.reactor.listen_count == 1
    assert leaving.fleet.endpoint.counters == EndpointCounters()


def test_rejected_datagrams_are_logged_at_powers_of_two(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    member = LoggedMember(tmp_path, monkeypatch)
    for _ in range(9):
        member.fleet.endpoint.datagramReceived(b"junk" * 20, ("127.0.0.1", 9))
    member.fleet.endpoint.on_notice(Notice("unknown", {}))
    assert [fields["count"] for fields in member.logged("fleet_datagram_rejected")] == [1, 2, 4, 8]
    assert not member.logged("unknown")


def test_an_error_names_timings_that_the_membership_rejects(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for timings in ({"probe_ever_ms": 5}, {"probe_timeout_ms": 5000}, {"secret": 5}):
        with pytest.raises(ConfigError, match=re.escape("fleet.timings")):
            LoggedMember(tmp_path, monkeypatch, timings=timings)
