"""Errors of the configuration and of the operators' file."""

from __future__ import annotations


class ConfigError(Exception):
    """A faulty file; the message names the file, the key or both."""


class MissingConfigPathError(ConfigError):
    """The environment names no configuration."""

    def __init__(self) -> None:
        super().__init__("PROXY_CONFIG is not set")


class FaultyFileError(ConfigError):
    """A file that can't be used."""

    def __init__(self, file_name: str, problem: object) -> None:
        super().__init__(f"{file_name}: {problem}")


class UnreadableConfigError(FaultyFileError):
    """The configuration can't be read."""

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"PROXY_CONFIG: {path}", error.strerror)


class FaultyKeyError(ConfigError):
    """A value that can't be used."""

    def __init__(self, key: str, problem: object) -> None:
        super().__init__(f"{key}: {problem}")


class MissingKeyError(FaultyKeyError):
    """A key that the configuration in service has and the new one lacks."""

    def __init__(self, key: str) -> None:
        super().__init__(key, "missing")


class MissingPackageError(FaultyKeyError):
    """A section whose packages are not installed."""

    def __init__(self, section: str) -> None:
        super().__init__(section, "its packages are not installed (packages/)")


class TlsError(ConfigError):
    """A certificate and key that can't serve; the message never holds the key's text."""
