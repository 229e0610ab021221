"""The path of jobs with steps: intake, election of a leader, planning."""
