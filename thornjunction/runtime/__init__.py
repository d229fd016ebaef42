"""Configuration, start, readiness, drain and exit."""
