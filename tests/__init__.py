"""End-to-end tests, and tools that run tests."""
