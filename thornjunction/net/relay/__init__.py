"""Server side of a relay: the connections of the routers and relays that poll it."""
