"""Fake cache servers, discovery and clients on loopback, and environments of production router code."""
