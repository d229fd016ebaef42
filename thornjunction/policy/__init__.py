"""Routing decisions: ``Router`` converts events into actions (``thornjunction.interface``)."""
