"""Benchmarks; most modules print tables of docs/measurements.md.

Some tables are in other pages below ``docs/``. ``fits``, ``processes`` and
``passthrough`` are parts of other benchmarks.
"""
