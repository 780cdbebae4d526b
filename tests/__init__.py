"""Tests of the whole path, and tools that run tests."""
