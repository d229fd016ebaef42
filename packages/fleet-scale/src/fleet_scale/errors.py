"""The errors of a scale run."""

from __future__ import annotations


class RunError(Exception):
    """A run cannot go on."""


class ProcessEndedError(RunError):
    """A process of the run has ended by itself."""

    def __init__(self, name: str, log_end: str) -> None:
        super().__init__(f"{name} has ended; its log: {log_end}")


class MissingPipeError(RunError):
    """A worker was started without pipes."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} has no pipes")


class ReplyTimeoutError(RunError):
    """A worker did not answer in time."""

    def __init__(self, name: str, timeout_s: float) -> None:
        super().__init__(f"{name} did not answer within {timeout_s:.0f} s")


class CommandRejectedError(RunError):
    """A worker's role does not know a command."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")


class UnexpectedReplyError(RunError):
    """A worker answered with another type of reply than the command has."""

    def __init__(self, name: str, received: type, expected: type) -> None:
        super().__init__(f"{name} answered {received.__name__} in place of {expected.__name__}")


class NotInStepError(RunError):
    """The routers did not come into step in time."""

    def __init__(self, when: str) -> None:
        super().__init__(f"not in step {when}")


class UnknownMembersError(RunError):
    """The members of a fleet did not all learn of each other in time."""

    def __init__(self, member_count: int) -> None:
        super().__init__(f"{member_count} members do not all know each other")


class MissingLoadError(RunError):
    """A run that checks requests was started without the load on full routers."""

    def __init__(self) -> None:
        super().__init__("there is no load on full routers")


class TimeLimitError(RunError):
    """The run's time is over."""

    def __init__(self) -> None:
        super().__init__("the run took longer than it may")


class MemoryLimitError(RunError):
    """The run uses more memory than it may, or leaves less to others."""

    def __init__(self, used_mb: float, total_mb: float, free_mb: float) -> None:
        super().__init__(f"memory: {used_mb:.0f} MB used of {total_mb:.0f}, {free_mb:.0f} free")


class TopologyError(Exception):
    """A topology file is not valid; the message names the key."""

    def __init__(self, key: str, fault: object) -> None:
        super().__init__(f"{key}: {fault}")
