"""Fake cache servers, discovery and clients on loopback, and environments that run the real router parts."""
