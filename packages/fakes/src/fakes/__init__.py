"""Stand-ins of the outside world on loopback: shelfs, discovery, clients, and a rig round the real core."""
