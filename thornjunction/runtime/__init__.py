"""The process: its configuration files, how its parts are assembled, and its lifecycle from start to exit."""
