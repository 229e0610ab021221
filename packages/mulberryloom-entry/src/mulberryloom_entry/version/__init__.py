"""Components scoped to one version of the configuration."""
