"""Splits JSON text into its parts without decoding them.

The decoders give up on a whole page if one part of it is nested too deeply or is not
JSON. Split first, the other parts can still be decoded.
"""

import re
from collections.abc import Iterator

# A string, or a character that structures the text. The quantifiers are possessive, so
# that a string without end costs linear time.
TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{},]', re.DOTALL)
KEY = re.compile(rb'\s*"((?:[^"\\]++|\\.)*+)"\s*:', re.DOTALL)
OPENING = frozenset((b'[', b'{'))
CLOSING = frozenset((b']', b'}'))


def split_parts(text: bytes) -> Iterator[bytes]:
    """Yield the elements of an array, or the members of an object, as raw text.

    Nothing is yielded for a text that has been cut off: its last part may be missing.

    Args:
        text: JSON text of an array or an object.
    """
    bounds = list(part_bounds(text))
    if not bounds or text[bounds[-1] :].strip() not in CLOSING:
        return
    for start, end in zip(bounds, bounds[1:], strict=False):
        part = text[start + 1 : end].strip()
        if part:
            yield part


def part_bounds(text: bytes) -> Iterator[int]:
    """Yield the positions of the outermost brackets and of the commas between parts.

    The last one is that of the outermost closing bracket, if there is one.
    """
    depth = 0
    for token in TOKEN.finditer(text):
        mark = token.group()
        depth += int(mark in OPENING) - int(mark in CLOSING)
        begins = depth == 1 and mark in OPENING
        if begins or depth == 0 or (depth == 1 and mark == b','):
            yield token.start()
        if depth == 0:
            return


def split_members(text: bytes) -> dict[bytes, bytes]:
    """Return the raw values of an object's members by their keys.

    Keys are not unescaped. The result is empty if the text is not an object.
    """
    if not text.lstrip().startswith(b'{'):
        return {}
    found = ((KEY.match(part), part) for part in split_parts(text))
    return {key[1]: part[key.end() :].strip() for key, part in found if key}


def split_elements(text: bytes) -> list[bytes]:
    """Return the raw elements of an array; empty if the text is not an array."""
    if not text.lstrip().startswith(b'['):
        return []
    return list(split_parts(text))
