"""The errors of a scale run."""

from __future__ import annotations


class RunError(Exception):
    """A scale run cannot continue."""


class ProcessEndedError(RunError):
    """A process of the run exited unexpectedly; the message ends with the tail of its log."""

    def __init__(self, name: str, log_end: str) -> None:
        super().__init__(f"{name} exited unexpectedly; end of its log: {log_end}")


class MissingPipeError(RunError):
    """A worker process has no standard input or output pipe."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} was started without pipes")


class ReplyTimeoutError(RunError):
    """A worker did not reply to a command within the timeout."""

    def __init__(self, name: str, timeout_s: float) -> None:
        super().__init__(f"{name} did not reply within {timeout_s:.0f} s")


class CommandRejectedError(RunError):
    """A worker rejected a command that its role does not implement."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")


class UnexpectedReplyError(RunError):
    """The type of a worker's reply is not the one that belongs to the command."""

    def __init__(self, name: str, received: type, expected: type) -> None:
        super().__init__(f"{name} replied {received.__name__} instead of {expected.__name__}")


class NotConvergedError(RunError):
    """The routers did not reach discovery's endpoint list and newest purge within the timeout."""

    def __init__(self, when: str) -> None:
        super().__init__(f"the routers have not converged {when}")


class UnknownMembersError(RunError):
    """Not every member of a fleet listed all others as alive within the timeout."""

    def __init__(self, member_count: int) -> None:
        super().__init__(f"not all of {member_count} members list each other as alive")


class MissingLoadError(RunError):
    """A run that checks requests was started without the load on full routers."""

    def __init__(self) -> None:
        super().__init__("no load on full routers was started")


class TimeLimitError(RunError):
    """The run exceeded its time limit."""

    def __init__(self) -> None:
        super().__init__("the run exceeded its time limit")


class MemoryLimitError(RunError):
    """The run uses more than its share of the machine's memory, or leaves too little free."""

    def __init__(self, used_mb: float, total_mb: float, free_mb: float) -> None:
        super().__init__(
            f"memory limit: the run uses {used_mb:.0f} of {total_mb:.0f} MB, {free_mb:.0f} MB are free"
        )


class TopologyError(Exception):
    """A topology is invalid; the message begins with the key in the file, or with the file's name."""

    def __init__(self, key: str, fault: object) -> None:
        super().__init__(f"{key}: {fault}")
