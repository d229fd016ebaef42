"""Routing decisions: ``Router`` turns events into actions (``thornjunction.interface``)."""
