"""Protocol between entry instances."""
