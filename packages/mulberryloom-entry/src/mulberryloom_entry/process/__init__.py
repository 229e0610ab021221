"""Components that live for the whole lifetime of an entry process."""
