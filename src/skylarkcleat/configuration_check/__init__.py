"""Checks a configuration document before an operator sends it."""
