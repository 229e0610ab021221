"""Leases, starts and stops of job runs on one worker."""
