"""Events of the command channel: changes of the endpoint list, and purges.

Unknown keys and events are ignored, because the protocol may grow.  Of a known event that is partly
malformed, all that is readable is used, on the side that breaks no rule, and the fault is reported: an
endpoint with a malformed line counts as leaving, a purge with a malformed time as one of now.  So one bad
event holds up none after it, and no drain is lost if it is known whom it concerns.
"""

from thornjunction.net.wire.commands.address import Address, AddressError, parse_address
from thornjunction.net.wire.commands.encoder import encode_host
from thornjunction.net.wire.commands.messages import Command, Commands, Host, ListChange, Purge
from thornjunction.net.wire.commands.reader import (
    MAX_REPORTED_FAULTS,
    decode_commands,
    parse_commands,
    parse_head,
    parse_partial,
)

__all__ = [
    "MAX_REPORTED_FAULTS",
    "Address",
    "AddressError",
    "Command",
    "Commands",
    "Host",
    "ListChange",
    "Purge",
    "decode_commands",
    "encode_host",
    "parse_address",
    "parse_commands",
    "parse_head",
    "parse_partial",
]
