"""Settings that change while requests are open, which keep the old settings; faulty files are rejected."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from tests.core.scripted_ports import ScriptedPorts
from tests.helpers import FILMS, KEYED, ORDER, SETTINGS, RouterDriver, actions_of, attempt_of, final_actions
from tests.runtime.test_config import CONFIG
from thornjunction import interface as api
from thornjunction.runtime.config import check_complete, parse_config
from thornjunction.runtime.errors import ConfigError
from thornjunction.settings import VALUES_BY_CLASS, VALUES_BY_ZONE


def test_an_open_request_keeps_its_limit_on_attempts_and_the_next_has_the_new_one() -> None:
    driver = RouterDriver(max_attempts=3)
    before = attempt_of(driver.request())
    driver.handle(replace(SETTINGS, max_attempts=1))
    after = attempt_of(driver.request(key=2))
    assert actions_of(driver.end_attempt(before, api.AttemptStatus.NOT_STARTED), api.StartAttempt)
    assert final_actions(driver.end_attempt(after, api.AttemptStatus.NOT_STARTED))


def test_the_engine_applies_the_limit_on_attempts_in_force_when_the_request_arrived() -> None:
    script = ScriptedPorts()
    number = script.open()
    script.engine.max_attempts = 1
    for sent in (2, 2):  # the second attempt, and no third
        script.scripted_actions = [[api.StartAttempt(str(number), "s", 500.0, "s")]]
        script.engine.feed(api.TimerFired(1))
        assert len(script.sent) == sent
    number = script.open()
    script.scripted_actions = [[api.StartAttempt(str(number), "s", 500.0, "s")]]
    script.engine.feed(api.TimerFired(1))
    assert len(script.sent) == 3


def test_classes_may_be_added_removed_and_made_non_idempotent() -> None:
    driver = RouterDriver(classes=(FILMS, KEYED))
    assert final_actions(driver.request(class_name="order"))
    film = attempt_of(driver.request())
    driver.handle(
        replace(
            SETTINGS,
            classes=(replace(KEYED, idempotency=api.Idempotency.NON_IDEMPOTENT, name="keyed"), ORDER),
        )
    )
    assert final_actions(driver.request())
    assert attempt_of(driver.request(class_name="order"))
    unsafe = attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    assert final_actions(driver.end_attempt(unsafe, api.AttemptStatus.TIMEOUT)) == [
        api.FailRequest(str(driver.request_count))
    ]
    # This request is still open under the class that was removed.
    assert not final_actions(driver.end_attempt(film, api.AttemptStatus.TIMEOUT))
    assert not final_actions(driver.end_attempt(driver.attempts[film.request_id][-1]))
    latencies = driver.router.admission.typical_latencies
    sizes = driver.router.state.sizes.class_means
    assert set(latencies) == set(sizes) == {"keyed", "order"}


def config_with(**changes: Any) -> bytes:
    """Return the configuration with values changed by path, as ``limits__sockets``; None removes the key."""
    config = json.loads(json.dumps(CONFIG))
    for path, value in changes.items():
        *parents, key = path.split("__")
        container: Any = config
        for step in parents:
            container = container[int(step) if step.isdigit() else step]
        if value is None:
            del container[key]
        else:
            container[key] = value
    return json.dumps(config).encode()


@pytest.mark.parametrize(
    ("path", "value", "named_key"),
    [
        ("settings", None, "settings"),
        ("channel", None, "channel"),
        ("settings__allowed__cancel", None, "settings.allowed.cancel"),
        ("settings__classes__0__giveUpMs", None, "giveUpMs"),
        ("settings__classes__0__giveUpMs", -5, "giveUpMs"),
        ("settings__classes__0__giveUpMs", 0, "giveUpMs"),
        ("settings__classes__0__giveUpMs", "soon", "giveUpMs"),
        ("settings__classes__0__giveUpMs", float("nan"), "giveUpMs"),
        ("settings__allowed__attemptsCap", 0, "attemptsCap"),
        ("settings__allowed__attemptsCap", True, "attemptsCap"),
        ("settings__classes__0__name", "writes", "classes"),
        ("settings__classes__0__giveUpMs", 10**400, "giveUpMs"),
        ("settings__classes__0__idempotency", "keyed", "memorySpanMs"),
        ("settings__classes", [7], "classes"),
        ("settings__zones", ["hub", 3], "zones"),
        ("settings__machineTypes", ["box", None], "machineTypes"),
        ("settings__specifics__classFreshMs", ["soon", None], "classFreshMs"),
        ("settings__specifics__passOn", [0, 1], "passOn"),
        ("settings__specifics__hubByZone", [0, 2], "hubByZone"),
        ("settings__specifics__pipeKbPerS", [0.0, [1]], "pipeKbPerS"),
        ("limits__sockets", 0, "sockets"),
        ("known__cmds", [{"cursor": 1, "nodes": {"hosts": [{"host": "a"}]}}], "known"),
    ],
)
def test_an_error_names_the_faulty_key_of_a_reloaded_file(path: str, value: Any, named_key: str) -> None:
    running = parse_config(config_with(), {})
    with pytest.raises(ConfigError, match=named_key):
        check_complete(running, parse_config(config_with(**{path: value}), {}))


ALERTS = {
    "name": "alerts",
    "aimMs": 600.0,
    "giveUpMs": 3000.0,
    "idempotency": "keyed",
    "group": "cell",
    "memorySpanMs": 6000.0,
    "lateWorth": 0.0,
    "worth": 3.0,
}
READINGS = ALERTS | {"name": "readings", "aimStretch": 2.0}


def config_of_classes(*classes: dict[str, Any]) -> bytes:
    """Return the configuration with these classes."""
    return config_with(settings__classes=list(classes), settings__specifics={})


@pytest.mark.parametrize("key", sorted(ALERTS.keys() - {"name"}))
def test_a_reloaded_class_that_lacks_a_key_is_rejected(key: str) -> None:
    """Guards against a default in its place: a keyed class without its scope ran requests in two cells."""
    running = parse_config(config_of_classes(ALERTS, READINGS), {})
    incomplete = {name: value for name, value in ALERTS.items() if name != key}
    for classes in [(incomplete, READINGS), (READINGS, incomplete), (incomplete,)]:
        with pytest.raises(ConfigError, match=key):
            check_complete(running, parse_config(config_of_classes(*classes), {}))


@pytest.mark.parametrize("key", sorted(ALERTS.keys() - {"name"}))
def test_a_class_that_is_added_has_the_keys_that_all_others_have(key: str) -> None:
    running = parse_config(config_of_classes(READINGS), {})
    added = {name: value for name, value in ALERTS.items() if name != key}
    with pytest.raises(ConfigError, match=key):
        check_complete(running, parse_config(config_of_classes(READINGS, added), {}))


def test_classes_may_be_added_and_dropped_and_a_key_that_may_be_absent_may_go() -> None:
    running = parse_config(config_of_classes(ALERTS, READINGS), {})
    check_complete(running, parse_config(config_of_classes(ALERTS), {}))
    check_complete(running, parse_config(config_of_classes(ALERTS | {"name": "new"}), {}))
    without_optional = {name: value for name, value in READINGS.items() if name != "aimStretch"}
    check_complete(running, parse_config(config_of_classes(without_optional, ALERTS), {}))


@pytest.mark.parametrize("key", ["group", "memorySpanMs"])
def test_a_keyed_class_needs_its_scope_and_window_at_the_start_too(key: str) -> None:
    incomplete = {name: value for name, value in ALERTS.items() if name != key}
    with pytest.raises(ConfigError, match=key):
        parse_config(config_of_classes(incomplete), {})


@pytest.mark.parametrize("name", [*VALUES_BY_CLASS, *VALUES_BY_ZONE])
def test_a_list_with_a_value_for_each_class_or_zone_is_complete(name: str) -> None:
    """Guards against a default for the last class or zone: an uncacheable class was taken for a cacheable."""
    value = False if name == "passOn" else 0
    zones = {"settings__zones": ["hub", "demo", "third"], "settings__myZone": "demo"}
    classes = {"settings__classes": [ALERTS, READINGS, ALERTS | {"name": "third"}]}
    complete = config_with(**zones, **classes, settings__specifics={name: [value] * 3})
    assert parse_config(complete, {}).settings
    short = config_with(**zones, **classes, settings__specifics={name: [value] * 2})
    with pytest.raises(ConfigError, match=name):
        parse_config(short, {})


def test_a_complete_file_is_accepted() -> None:
    running = parse_config(config_with(), {})
    reloaded = parse_config(config_with(settings__allowed__attemptsCap=2, channel="127.0.0.1:5"), {})
    check_complete(running, reloaded)
    assert reloaded.settings.max_attempts == 2
    assert parse_config(config_with(settings__allowed__attemptsCap=0.5), {}).settings.max_attempts == 1
