"""State of requests: single tasks, gangs, and their execution."""
