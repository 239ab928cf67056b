"""A bound on retries as a share of first attempts."""

__all__ = ["RetryBudget"]

import attrs


@attrs.define
class RetryBudget:
    """Lets retries be a set share of first attempts, after a first reserve.

    A fleet that is down then sees little more than the plain load, whatever the
    number of its clients.

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.record_first_attempt(); budget.record_first_attempt()
    >>> budget.spend()
    True
    """

    share: float = 0.2
    reserve: float = 10
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.reserve

    def record_first_attempt(self) -> None:
        """Earn a share of one retry, up to the reserve."""
        self._tokens = min(self.reserve, self._tokens + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget, or return ``False`` if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
