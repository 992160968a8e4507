"""Small fakes of the outside systems, for the demo, tests and experiments."""
