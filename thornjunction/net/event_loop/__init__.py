"""The reactor, its clocks and timers, and what the endpoints share of Twisted."""
