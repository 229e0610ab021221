"""Objects scoped to the agent process."""
