"""Jobs with steps: intake, leader election and the leader itself."""
