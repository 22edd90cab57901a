"""Simulation of entries, agents and runners under virtual time.

The dispatchers and schedulers are the real ones; the network, the runners and
the workload are simulated. Times are in seconds of the virtual clock.
"""
