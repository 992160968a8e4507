"""Decisions that may vary: placement, admission and retention."""
