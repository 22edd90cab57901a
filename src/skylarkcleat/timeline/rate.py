"""A token bucket, for bounds on rates."""

from __future__ import annotations


class TokenBucket:
    """Lets a steady rate through, and bursts up to one second of it.

    Attributes:
        tokens: What may pass at once.
    """

    def __init__(self, rate: float, burst: float | None = None) -> None:
        """Creates a full bucket.

        Args:
            rate: Tokens a second.
            burst: The most tokens that are saved up; a second's worth unless
                given.
        """
        self._rate = rate
        self._burst = rate if burst is None else burst
        self._at: float | None = None
        self.tokens = self._burst

    @property
    def burst(self) -> float:
        """The most tokens that are saved up."""
        return self._burst

    def refill(self, now: float) -> None:
        """Adds the tokens of the time gone by; a clock set back adds none.

        Args:
            now: Seconds of any clock.
        """
        if self._at is not None and now > self._at:
            grown = self.tokens + (now - self._at) * self._rate
            self.tokens = min(self._burst, grown)
        self._at = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Takes tokens if there are enough of them.

        Args:
            now: Seconds of any clock.
            amount: The tokens to take.
        """
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True
