"""Helpers for the step implementations."""
