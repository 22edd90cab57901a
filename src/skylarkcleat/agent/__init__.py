"""The agent, the process beside each upstream VM that runs its tasks.

Entries, the processes that accept jobs from callers, dispatch tasks to agents.
An agent queues each task until a slot is free, posts it to the runner on its
VM over HTTP, and reports the result to the entry. Agents also serve as
keepers, which store the replicated claims of entries on jobs. Control is the
replicated group of processes that maintains the directory of members.
"""
