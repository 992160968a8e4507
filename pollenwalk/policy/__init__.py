"""Policies that can be exchanged: placement, admission and queueing."""
