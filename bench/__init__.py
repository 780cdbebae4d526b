"""Benchmarks; each module is one table of docs/measurements.md."""
