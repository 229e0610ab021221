"""Gherkin scenarios, run by behave against a fleet of processes."""
