"""Refuse requests, and tell their callers when to retry."""

from __future__ import annotations

from collections.abc import Sequence

import structlog

from ..errors import ERROR_RESPONSES, ErrorKind, Executed
from ..world.era import format_revision
from ..world.model import Route
from .call import Call
from .context import Context
from .result import Refusal

MAX_RETRY_AFTER_S = 0.3  # by then the view or a replica may have changed
MAX_LOGGED_TARGET = 200  # characters of a host and path in a log line
MAX_RETRY_AFTER_SHARE = 0.3  # of the time left until the caller's deadline


def compute_retry_after(kind: ErrorKind, left_s: float) -> float | None:
    """Return the delay before a caller may retry, in seconds, or None.

    It is 0 where other VMs serve the caller at once. It is None where a retry can't
    help or is unsafe: no such resource exists, or the request ran or may have run.

    Parameters
    ----------
    kind : ErrorKind
        Why there is no result.
    left_s : float
        Time until the caller's deadline, in seconds; negative after it.
    """
    if (
        ERROR_RESPONSES[kind].executed is not Executed.NO
        or ERROR_RESPONSES[kind].status == 404
    ):
        return None
    if kind is ErrorKind.STOPPING:
        return 0.0
    return max(0.0, min(MAX_RETRY_AFTER_S, MAX_RETRY_AFTER_SHARE * left_s))


def _describe_target(call: Call) -> str:
    return f"{call.host}{call.request.path}"[:MAX_LOGGED_TARGET]


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def refuse(
    context: Context,
    call: Call,
    route: Route | None,
    kind: ErrorKind,
    found: int = 0,
    limited: Sequence[str] = (),
    retry_after_s: float | None = None,
) -> Refusal:
    """Log and count why a call ends without a result, and return its refusal.

    Parameters
    ----------
    context : Context
        State that all requests share.
    call : Call
        The caller's request.
    route : Route or None
        Its route, or None if none was found.
    kind : ErrorKind
        Why there is no result.
    found : int
        For a query over many shards, the number of shards that had a replica or that
        answered.
    limited : sequence of str
        Services without a usable replica because of the rate limits that theirs name.
    retry_after_s : float or None
        Delay before the caller may retry, in seconds, if it is known; None to derive it
        from the kind.
    """
    view = context.view
    now = context.now()
    if retry_after_s is None:
        retry_after_s = compute_retry_after(kind, call.deadline - now)
    context.metrics.increment("refused", kind.value)
    structlog.get_logger().info(
        "refused",
        request=call.attempt_id_text,
        route=route.name if route else None,
        kind=kind.value,
        ran=ERROR_RESPONSES[kind].executed.value,
        found=found,
        limited=list(limited),
        target=_describe_target(call) if route is None else None,
        version=view.configuration.version if view.configuration else None,
        in_force_s=_round(view.configuration_age_s),
        revision=format_revision(view.revision),
        view_age_s=_round(view.age_s) if view.has_configuration else None,
        retry_after_s=retry_after_s,
        ms=round((now - call.request.arrived_at) * 1000, 1),
    )
    return Refusal(kind, retry_after_s)
