"""Parsing of `ip:port` addresses."""

import ipaddress

MAX_PORT = 65_535
# What connecting to an address raises, or parsing it if it is no address.
CONNECT_ERRORS = (OSError, ValueError, OverflowError)


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port` into the IP address and the port number."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def has_valid_port(address: str) -> bool:
    """Return whether an address has a host part and ends with a port number."""
    host, _, port = address.rpartition(':')
    is_text = address.isascii() and address.isprintable() and ' ' not in address
    is_short_number = port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return bool(host) and is_text and is_short_number and 0 < int(port) <= MAX_PORT


def is_ip_and_port(address: str) -> bool:
    """Return whether a text is an IP address and a port that a socket accepts."""
    try:
        ipaddress.ip_address(address.rpartition(':')[0])
    except ValueError:
        return False
    return has_valid_port(address)
