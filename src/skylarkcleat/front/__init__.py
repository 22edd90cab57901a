"""The front: the process that callers connect to; one front owns all jobs."""
