"""Objects scoped to one version of the configuration."""
