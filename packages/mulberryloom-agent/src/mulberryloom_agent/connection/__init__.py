"""Loopback HTTP servers of the agent."""
