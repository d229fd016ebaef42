"""The decisions of the router; ``Router`` turns events into actions (``thornjunction.interface``)."""
