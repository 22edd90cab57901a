"""Ensures that a task starts at most once, whichever processes fail.

An entry, a process that callers submit jobs to, owns a job once the keepers
have decided its claim. Keepers are agents that hold the claims of a shard of
the job identifiers and decide by majority. The claim names the cohort: the
agents that the job's tasks may be sent to. Each agent records in its ledger
what it starts. When another entry takes over a job, it claims the next epoch
and fences the earlier cohort: each agent refuses tasks of lower epochs from
then on and reports which tasks have started. A task that may have started is
started again only if its request is declared repeatable. An incarnation is one
run of a process under its name.
"""
