"""The adapter to the users' platform: its names, formats and requests.

This package alone knows how the platform names and encodes things, and decodes
them into the types of pollenwalk. It makes no scheduling decisions.
"""
