"""Addresses of the form `ip:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)
