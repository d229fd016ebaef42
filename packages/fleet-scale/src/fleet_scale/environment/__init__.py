"""The environment of a scale run: its processes, their addresses, and the commands sent to them."""
