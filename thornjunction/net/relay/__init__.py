"""The endpoint that routers and relays poll."""
