"""Job worker stand-ins, and a simulation of the job path."""
