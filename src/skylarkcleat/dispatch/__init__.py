"""Scheduling decisions, without I/O: admission, queueing, placement, retries.

Three roles take part. An entry is the process that accepts jobs from callers
and sends their tasks to agents. An agent is the process beside one runner,
which queues tasks for the runner's slots. A runner executes tasks. Each agent
belongs to one upstream, and a profile names the upstreams that its jobs may
use. The entry's decisions start in `dispatcher`, the agent's in `scheduler`.

Units: names that end in `_ms` are milliseconds and names that end in `_s` are
seconds; `now` and names that end in `_at` are seconds of the monotonic clock.
A runner of speed 1 is the reference: a task's run time on a runner is its
work, the run time at speed 1, divided by the runner's speed.
"""
