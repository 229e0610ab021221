"""Whole-system fuzzing: all cores on one simulated clock, random faults."""
