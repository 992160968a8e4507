"""Parsing of `ip:port` addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port` into the IP address and the port number."""
    host, _, port = address.rpartition(':')
    return host, int(port)
