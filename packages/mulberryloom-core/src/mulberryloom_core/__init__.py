"""Types, protocol and configuration shared by every process."""
