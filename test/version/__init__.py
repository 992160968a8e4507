"""Tests of what lives as long as a version of the configuration."""
