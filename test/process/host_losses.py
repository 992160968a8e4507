"""Which hosts count as lost, and so whether one more disk may be."""

# The bounds of the smaller deployments: from the start of a host until it has caught up,
# and from the end of a disturbance until the store is stable.
CATCH_UP_MS = 4400.0
CONTACT_MS = 4000.0


class Losses:
    """Which hosts count as lost.

    Attributes:
        until_ms: until when each host counts; infinite while it is away, and while the
            store is disturbed.
        catching_up: the hosts that are back and have not caught up while the store is
            disturbed; their time begins anew once it is stable.
        is_disturbed: whether the store is disturbed now.
        stable_at_ms: when the store has been calm for long enough.
    """

    def __init__(self) -> None:
        """Start with nothing lost."""
        self.until_ms: dict[str, float] = {}
        self.catching_up: set[str] = set()
        self.is_disturbed = False
        self.stable_at_ms = 0.0

    def begin(self, name: str) -> None:
        """Count a host from now on."""
        self.until_ms[name] = float('inf')
        self.catching_up.discard(name)

    def end(self, name: str, now_ms: float) -> None:
        """Count a host that is back for as long as it has to catch up."""
        if self.is_disturbed:
            self.until_ms[name] = float('inf')
            self.catching_up.add(name)
        else:
            self.until_ms[name] = max(now_ms, self.stable_at_ms) + CATCH_UP_MS

    def disturb_store(self, now_ms: float) -> None:
        """Note that the store is disturbed."""
        self.is_disturbed = True
        for name, until_ms in self.until_ms.items():
            if now_ms < until_ms < float('inf'):
                self.until_ms[name] = float('inf')
                self.catching_up.add(name)

    def calm_store(self, now_ms: float) -> None:
        """Let the hosts that have not caught up begin anew once the store is stable."""
        self.is_disturbed = False
        self.stable_at_ms = now_ms + CONTACT_MS
        for name in self.catching_up:
            self.until_ms[name] = self.stable_at_ms + CATCH_UP_MS
        self.catching_up.clear()

    def names(self, now_ms: float) -> set[str]:
        """Return the hosts that count as lost."""
        return {name for name, until_ms in self.until_ms.items() if until_ms > now_ms}
