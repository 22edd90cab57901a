"""Scheduling of jobs whose tasks need CPU, memory and accelerators.

One front (a process that callers connect to) is the owner: it places every
task of every job. A side process runs beside each runner and carries out the
owner's orders under a lease.
"""
