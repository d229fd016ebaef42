"""Twisted endpoints: the fronts, the pool of server connections, the command channel and the metrics."""
