"""The HTTP paths that the platform requests from pollenwalk."""

READY_PATH = '/v1/ready'
