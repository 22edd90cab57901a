"""The entry, the process that callers submit jobs to over HTTP.

It admits jobs, sends their tasks to agents (the processes beside the runners)
and returns each job's outcome. Control, the replicated configuration service,
provides the directory of members. Keepers store the claims that decide which
entry owns a job.
"""
