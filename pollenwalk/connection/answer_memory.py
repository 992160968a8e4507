"""Limit on the memory of all answers that a gateway is reading at the same time.

A limit for each answer is none for the process: many calls may meet a faulty host that
sends without end. Answers that are forwarded as they arrive hold next to nothing;
those that are collected, or whose event is not complete, hold what has arrived.
"""

from pollenwalk.errors import BrokenAnswer

# The smallest gateway has 128 MB of memory.
MAX_HELD_BYTES = 33_554_432
# An answer up to this size is read in any case, so that ordinary ones are served
# while a faulty host fills the memory.
SMALL_ANSWER_BYTES = 16_384


class AnswerMemory:
    """Counts the bytes that all answers in progress hold.

    Attributes:
        held_bytes: their sum.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self.held_bytes = 0


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
        if self.memory.held_bytes > MAX_HELD_BYTES:
            raise BrokenAnswer(
                f'all answers together hold more than {MAX_HELD_BYTES} bytes, '
                f'this one {size_bytes}'
            )

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)
