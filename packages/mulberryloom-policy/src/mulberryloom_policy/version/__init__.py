"""Objects that are built for one version of the configuration."""
