"""Stand-ins for the job path, and a simulation that drives its cores."""
