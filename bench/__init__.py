"""Benchmarks; each module prints tables of docs/measurements.md."""
