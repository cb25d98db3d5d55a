"""Limits of the process's parts, from the settings."""

from __future__ import annotations

import math
import resource

from ..http.client_budget import ClientLimits
from ..upstreams.budget import RetryBudgetLimits
from .settings import Bounds, Limits

BYTES_PER_MB = 1 << 20
# Shares of the process's memory and descriptors that clients may use. The rest is for
# the view, for buffers that are not counted, and for connections to replicas.
CLIENT_MEMORY_SHARE = 0.25
CLIENT_DESCRIPTORS_SHARE = 0.5


def make_budget_limits(bounds: Bounds) -> RetryBudgetLimits:
    """Return the limits of the retry budget that the settings name."""
    return RetryBudgetLimits(
        bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
    )


def make_client_limits(limits: Limits) -> ClientLimits:
    """Return the share of the process's memory and descriptors that clients may use."""
    found, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = limits.descriptors or math.inf
    if found != resource.RLIM_INFINITY:
        descriptors = min(descriptors, found)
    return ClientLimits(
        int(CLIENT_MEMORY_SHARE * limits.memory_mb * BYTES_PER_MB),
        CLIENT_DESCRIPTORS_SHARE * descriptors,
    )
