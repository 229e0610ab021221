"""Keys of jobs, entries and the leader in the platform's store."""

#: Name and address of the leader. The key's revision is the generation.
LEADER = 'loom/leader'
#: Prefix of one key for each entry, under a lease, with its peer address.
ENTRIES = 'loom/entries/'
#: Prefix of one record for each job.
JOBS = 'loom/jobs/'
#: Prefix of one key for each evacuated data centre, with its name.
EVACUATIONS = 'loom/evacuations/'


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS + job_id


def job_id_of(key: str) -> str:
    """Return the job id in a record's key."""
    return key.removeprefix(JOBS)
