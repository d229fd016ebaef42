"""The process: its files, its assembly, and its lifecycle from start to exit."""
