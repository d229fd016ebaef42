"""The reactor, its clocks and timers, and the Twisted helpers that the endpoints share."""
