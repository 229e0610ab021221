"""Handling of single requests: parsing, routing, attempts and retries."""
