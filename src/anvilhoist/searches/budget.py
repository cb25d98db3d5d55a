"""Budgets for extra work: a share of the first tries, with a small burst."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Budget:
    """Allows extra sub-requests in proportion to first tries.

    Parameters
    ----------
    share : float
        Extra sub-requests for each first try.
    burst : float
        Most that can be saved up, in sub-requests.
    """

    share: float
    burst: float
    _saved: float = 0.0

    def earn(self, first_tries: int) -> None:
        """Count first tries."""
        self._saved = min(self._saved + first_tries * self.share, self.burst)

    def spend(self) -> bool:
        """Take one extra sub-request, if one is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
