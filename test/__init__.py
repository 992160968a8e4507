"""Tests; the layout mirrors the package."""
