"""Stand-ins for the platform around the program: clients, cache servers, discovery and the process host."""
