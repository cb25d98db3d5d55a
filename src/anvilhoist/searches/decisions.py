"""One structured log line for each decision, and the newest kept for `explain`."""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

import structlog

KEPT_DECISIONS = 5000


@dataclass(frozen=True, slots=True)
class Decision:
    """A routing or placement decision.

    Attributes
    ----------
    at_s : float
        Clock reading, in seconds.
    event : str
        What was decided, such as "plan" or "hedge".
    subject : str
        Replica, document or VM that it is about.
    reason : str
        Why.
    request_id : str
        Request that it was taken for, empty for control.
    """

    at_s: float
    event: str
    subject: str
    reason: str
    request_id: str = ""


def configure_logs() -> None:
    """Write log lines as JSON to standard output, for the whole process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stdout),
        cache_logger_on_first_use=True,
    )


@dataclass(slots=True)
class DecisionLog:
    """Logs decisions and keeps the newest.

    Parameters
    ----------
    vm, role : str
        Slot and binary, on each line.
    now : callable
        Clock, in seconds.
    """

    vm: str
    role: str
    now: Callable[[], float]
    _kept: deque[Decision] = field(default_factory=lambda: deque(maxlen=KEPT_DECISIONS))
    _logger: structlog.typing.WrappedLogger = field(
        default_factory=structlog.get_logger
    )

    def decide(
        self, event: str, subject: str, reason: str, request_id: str = ""
    ) -> None:
        """Log one decision."""
        decision = Decision(self.now(), event, subject, reason, request_id)
        self._kept.append(decision)
        self._logger.info(
            event,
            vm=self.vm,
            role=self.role,
            at_s=round(decision.at_s, 4),
            subject=subject,
            reason=reason,
            request_id=request_id,
        )

    def find(self, request_id: str) -> tuple[Decision, ...]:
        """Kept decisions taken for a request, oldest first."""
        return tuple(item for item in self._kept if item.request_id == request_id)

    def export(self) -> list[dict[str, str | float]]:
        """Kept decisions in a form that can be written as JSON."""
        return [asdict(item) for item in self._kept]
