"""Whether a request begins a program, as far as one gateway can know."""

from collections import OrderedDict

from pollenwalk.request.gateway_call import Call

# Programs that a gateway remembers; at 100 bytes each, well under 1 MB.
MAX_PROGRAMS = 4096


class ProgramStarts:
    """The programs that have been seen lately.

    Attributes:
        seen: keys of programs, the one seen last at the end.
    """

    def __init__(self, max_programs: int = MAX_PROGRAMS) -> None:
        """Remember up to `max_programs` programs."""
        self.max_programs = max_programs
        self.seen: OrderedDict[str, None] = OrderedDict()

    def begins_program(self, call: Call) -> bool:
        """Return whether a call begins a program, and remember a call that does not.

        A program that was refused is not remembered, so that it is new when it returns;
        see `admit`.
        """
        program = call.account
        if not program:
            return False
        metadata = call.request.metadata
        is_known = program in self.seen
        begins = call.route.is_streaming and not metadata.previous
        if begins and not metadata.resumes and not is_known:
            return True
        self.remember(program)
        return False

    def admit(self, call: Call) -> None:
        """Remember the program of a call that was let through."""
        self.remember(call.account)

    def remember(self, program: str) -> None:
        """Remember a program, and forget the one that was seen the longest ago."""
        self.seen[program] = None
        self.seen.move_to_end(program)
        if len(self.seen) > self.max_programs:
            self.seen.popitem(last=False)
