"""A world with its own time: the real entries and sidecars over small fakes."""
