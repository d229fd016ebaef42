"""Events of the command channel: changes of the endpoint list, and purges.

Unknown keys and events are ignored, because the protocol may be extended.  If a known event is partly
malformed, its readable values are used, the others get safe defaults, and the fault is reported: an endpoint
with a malformed line counts as leaving, a purge with a malformed time as issued now.  Thus a malformed event
blocks none of the later ones, and no drain is lost whose endpoint is readable.
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
