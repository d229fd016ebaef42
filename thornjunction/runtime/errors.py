"""Errors in the configuration and in the operators' file."""

from __future__ import annotations


class ConfigError(Exception):
    """A file is faulty; the message names the file, the key or both."""


class MissingConfigPathError(ConfigError):
    """The environment variable that names the configuration is not set."""

    def __init__(self) -> None:
        super().__init__("PROXY_CONFIG is not set")


class FaultyFileError(ConfigError):
    """A file that cannot be used."""

    def __init__(self, file_name: str, problem: object) -> None:
        super().__init__(f"{file_name}: {problem}")


class UnreadableConfigError(FaultyFileError):
    """The configuration file cannot be read."""

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"PROXY_CONFIG: {path}", error.strerror)


class FaultyKeyError(ConfigError):
    """A key whose value cannot be used."""

    def __init__(self, key: str, problem: object) -> None:
        super().__init__(f"{key}: {problem}")


class MissingKeyError(FaultyKeyError):
    """A key that the running configuration has and the reloaded one lacks."""

    def __init__(self, key: str) -> None:
        super().__init__(key, "missing")


class MissingPackageError(FaultyKeyError):
    """A section that needs packages that are not installed."""

    def __init__(self, section: str) -> None:
        super().__init__(section, "the packages that it needs are not installed (packages/)")


class TlsError(ConfigError):
    """A certificate and key that cannot be used; the message never contains the text of the key."""
