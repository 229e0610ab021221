"""Benchmark of the planner against baseline policies, on seeded jobs."""
