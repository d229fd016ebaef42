"""The worker processes of a scale run: one role each, directed by typed messages on standard input."""
