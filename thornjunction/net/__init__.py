"""Twisted endpoints: the fronts, the shelf pool, the command channel and the metrics."""
