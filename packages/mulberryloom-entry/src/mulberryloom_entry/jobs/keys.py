"""Keys of the job path in the platform's store."""

#: Names the entry that leads; its revision is the leader's generation.
LEADER = 'loom/leader'
#: One key for each entry, on a lease: its peer address.
ENTRIES = 'loom/entries/'
#: One record for each job.
JOBS = 'loom/jobs/'


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS + job_id


def job_id_of(key: str) -> str:
    """Return the job that a record's key belongs to."""
    return key.removeprefix(JOBS)
