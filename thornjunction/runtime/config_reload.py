"""Reloads the configuration on SIGHUP."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.runtime.config import Config, check_complete
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.settings_in_force import SettingsInForce

# Settings that only a restart changes: their names in the log, and the fields of ``Config`` that hold them.
RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "sockets": "sockets",
    "roles": "roles",
    "shelves": "pool_limits",
}

log = get_logger(__name__)


def replace_settings(running: Config, reloaded: Config) -> Config:
    """Return the running configuration with the fields that a reload changes; all others need a restart."""
    return replace(
        running,
        settings=reloaded.settings,
        longest_wait_ms=reloaded.longest_wait_ms,
        key_paths=reloaded.key_paths,
    )


class ConfigReloader:
    """Reads the configuration again and applies its settings.

    Args:
        load: reads the configuration.
        settings_in_force: receives the new settings.

    Attributes:
        counts: number of reloads by result: ``accepted`` or ``invalid``.
    """

    def __init__(self, load: Callable[[], Config], settings_in_force: SettingsInForce) -> None:
        self.counts = Counter[str]()
        self._load = load
        self._settings_in_force = settings_in_force

    def reload(self, running: Config) -> Config | None:
        """Read the file, apply its settings and return it; return None and change nothing if it is faulty."""
        try:
            reloaded = self._load()
            check_complete(running, reloaded)
        except ConfigError as error:
            self.counts["invalid"] += 1
            log.error(LogEvent.RELOAD_REJECTED, cause=str(error))  # noqa: TRY400
            return None
        self.counts["accepted"] += 1
        _log_accepted(running, reloaded)
        self._settings_in_force.apply(reloaded.settings)
        return reloaded


def _log_accepted(running: Config, reloaded: Config) -> None:
    need_restart = [
        name for name, field in RESTART_FIELDS.items() if getattr(reloaded, field) != getattr(running, field)
    ]
    log.info(
        LogEvent.RELOAD_ACCEPTED,
        channel=f"{reloaded.discovery.host}:{reloaded.discovery.port}",
        need_restart=",".join(need_restart) or "none",
    )
