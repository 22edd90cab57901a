"""Reliable, ordered delivery of typed messages between two processes.

A `Hub` holds the sessions of one process: a `Link` carries each session that
the process opened, the `Acceptor` those that peers opened. A `Session` numbers
and resends batches of messages; a `Frame` carries one batch over ZeroMQ.
"""
