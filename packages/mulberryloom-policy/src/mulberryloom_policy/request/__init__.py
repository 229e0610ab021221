"""Objects that are built to place one request."""
