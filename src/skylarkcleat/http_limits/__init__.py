"""Bounds what the HTTP clients of a process make it hold."""
