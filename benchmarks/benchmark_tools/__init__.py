"""Modules shared by the benchmarks: command lines, tables, fits, process statistics and load generators."""
