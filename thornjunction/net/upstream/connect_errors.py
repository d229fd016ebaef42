"""What a failed dial says: of the server, of the way there, or of this machine alone."""

from __future__ import annotations

import errno
from enum import Enum

from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

PATH_ERRORS = {
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENETDOWN,
    errno.EHOSTDOWN,
    errno.ECONNRESET,
    errno.ECONNABORTED,
}


class ConnectFailure(Enum):
    """Whose doing it is."""

    REFUSED = "refused"  # the server's machine answered that nobody listens there
    TIMED_OUT = "timed-out"  # it did not come up in the time that a dial has
    UNREACHABLE = "unreachable"  # the system found no way there
    LOCAL = "local"  # this machine lacked a port, a descriptor, memory; also what is not known


def connect_failure(reason: Failure) -> ConnectFailure:
    """The kind of a failed dial.  A deadline of ours cancels it, so a cancelled one has timed out."""
    error = reason.value
    number = error.osError if isinstance(error, ConnectError) else None
    if number == errno.ECONNREFUSED:
        return ConnectFailure.REFUSED
    if number in PATH_ERRORS:
        return ConnectFailure.UNREACHABLE
    cancelled = isinstance(error, CancelledError) or type(error).__name__ == "ConnectingCancelledError"
    return ConnectFailure.TIMED_OUT if cancelled else ConnectFailure.LOCAL
