"""The agent's part in jobs: leases, starts and stops on one worker."""
