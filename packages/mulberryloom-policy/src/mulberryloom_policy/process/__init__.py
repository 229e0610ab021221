"""State of the planner that lives as long as the process."""
