"""A router that serves on a fresh machine: fake cache servers and discovery on loopback, and both fronts."""
