"""Paths at which the platform calls this system."""

READY_PATH = '/v1/ready'
