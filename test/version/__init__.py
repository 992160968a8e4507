"""Tests of the declared configuration."""
