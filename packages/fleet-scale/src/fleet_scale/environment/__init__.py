"""The environment of a scale run: its processes, the addresses between them, and what is asked of them."""
