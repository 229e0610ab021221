"""Parts with the lifetime of a process: logs, metrics, settings, store."""
