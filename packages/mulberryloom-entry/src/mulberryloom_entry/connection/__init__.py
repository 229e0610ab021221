"""Components scoped to one connection or session."""
