"""The adapter to the users' infrastructure: names, formats and calls.

Each message on their wire is decoded here, once, into the project's own
types. This folder makes no decisions.
"""
