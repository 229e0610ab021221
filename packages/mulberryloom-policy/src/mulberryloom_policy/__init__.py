"""Scheduling policy: guarantees, queue order, placement, preemption."""
