"""What the benchmarks share: command lines, tables, fits, figures of processes, and loads."""
