"""Requests without a result, and when their caller may come back."""

from __future__ import annotations

import structlog

from ..errors import ERROR_RESPONSES, ErrorKind, Executed
from ..world.model import Route
from .call import Call
from .context import Context
from .result import Refusal

RETRY_AFTER_S = 0.3  # s until a view or a replica may have changed
RETRY_SHARE = 0.3  # of the time that the caller has left, at most


def compute_retry_after(kind: ErrorKind, left_s: float) -> float | None:
    """Choose when a caller may come back, or None where that says nothing.

    Parameters
    ----------
    kind : ErrorKind
        Why there is no result.
    left_s : float
        Time until the caller's deadline, in seconds.
    """
    if (
        ERROR_RESPONSES[kind].executed is not Executed.NO
        or ERROR_RESPONSES[kind].status == 404
    ):
        return None
    return max(0.0, min(RETRY_AFTER_S, RETRY_SHARE * left_s))


def refuse(
    context: Context, call: Call, route: Route | None, kind: ErrorKind, found: int = 0
) -> Refusal:
    """End a call without a result, and log why.

    Parameters
    ----------
    context : Context
        What requests share.
    call : Call
        The caller's request.
    route : Route or None
        Its route, if there is one.
    kind : ErrorKind
        Why there is no result.
    found : int
        Replicas or shards that there were.
    """
    view = context.view
    now = context.now()
    retry_after_s = compute_retry_after(kind, call.deadline - now)
    context.metrics.increment("refused", kind.value)
    structlog.get_logger().info(
        "refused",
        request=call.name,
        route=route.name if route else None,
        kind=kind.value,
        ran=ERROR_RESPONSES[kind].executed.value,
        found=found,
        version=view.configuration.version if view.configuration else None,
        view_age_s=round(view.age_s, 2) if view.has_configuration else None,
        retry_after_s=retry_after_s,
        ms=round((now - call.request.arrived_at) * 1000, 1),
    )
    return Refusal(kind, retry_after_s)
