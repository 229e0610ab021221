"""Jobs, their records in the store and their JSON documents."""
