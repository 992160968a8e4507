"""Tests of the state that belongs to one program."""
