"""Benchmarks, each a program of its own."""
