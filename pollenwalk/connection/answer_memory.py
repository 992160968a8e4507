"""Limit on the memory of all answers that a gateway is reading at the same time.

A limit for each answer is none for the process: many calls may meet a faulty host that
sends without end. Answers that are forwarded as they arrive hold what their callers have
not taken; those that are collected, or whose event is not complete, hold what has
arrived.
"""

from pollenwalk.errors import BrokenAnswer

# The limit of a process that names none.
MAX_HELD_BYTES = 33_554_432
# An answer up to this size is read in any case, so that ordinary ones are served
# while a faulty host fills the memory.
SMALL_ANSWER_BYTES = 16_384
# Received bytes of one answer that may wait until they are parsed, and the size of one
# read: with enough memory, and without.
MAX_WAITING_BYTES = 262_144
READ_BYTES = 65_536
SHORT_WAITING_BYTES = 4_096
SHORT_READ_BYTES = 4_096


class AnswerMemory:
    """Counts the bytes that all answers in progress hold.

    Attributes:
        limit_bytes: the most that they may hold.
        held_bytes: what collected answers and incomplete events hold.
        waiting_bytes: received bytes that wait for their callers.
    """

    def __init__(self, limit_bytes: float = MAX_HELD_BYTES) -> None:
        """Start without answers."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.waiting_bytes = 0

    @property
    def is_short(self) -> bool:
        """Return whether the answers hold too much, so that hosts are paused early."""
        return self.held_bytes + self.waiting_bytes > self.limit_bytes

    @property
    def read_bytes(self) -> int:
        """Return the largest size of a read."""
        return SHORT_READ_BYTES if self.is_short else READ_BYTES

    @property
    def max_waiting_bytes(self) -> int:
        """Return for how many waiting bytes of an answer its host is paused."""
        return SHORT_WAITING_BYTES if self.is_short else MAX_WAITING_BYTES


class HeldAnswer:
    """The bytes that one answer holds.

    Attributes:
        memory: counts them together with those of other answers.
        size_bytes: what this answer holds.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        """Create an answer that holds nothing."""
        self.memory = memory
        self.size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Set what the answer holds.

        Raises:
            BrokenAnswer: the answer has grown, and all answers together hold too much.
        """
        grows = size_bytes > self.size_bytes
        self.memory.held_bytes += size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        if not grows or size_bytes <= SMALL_ANSWER_BYTES:
            return
        # Bytes that wait for callers are not included: pausing the hosts limits them,
        # and callers that read slowly must not break the answers of others.
        if self.memory.held_bytes > self.memory.limit_bytes:
            raise BrokenAnswer(
                f'all answers together hold more than {self.memory.limit_bytes:.0f} '
                f'bytes, this one {size_bytes}'
            )

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)


class WaitingBytes:
    """The received bytes of one connection that wait for the caller.

    Attributes:
        memory: counts them together with those of other connections.
        size_bytes: their number.
        closed: whether the connection was closed, after which nothing is counted.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        """Create the count of a connection that has received nothing."""
        self.memory = memory
        self.size_bytes = 0
        self.closed = False

    def resize(self, size_bytes: int) -> None:
        """Set the number of bytes."""
        counted_bytes = 0 if self.closed else size_bytes
        self.memory.waiting_bytes += counted_bytes - self.size_bytes
        self.size_bytes = counted_bytes

    def close(self) -> None:
        """Count nothing from now on."""
        self.closed = True
        self.resize(0)
