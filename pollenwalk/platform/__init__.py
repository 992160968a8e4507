"""The adapter to the users' platform: names, formats and calls.

Everything that is spelled the platform's way is decoded here, once, into
types of the product. Nothing in this package decides.
"""
