"""A query tier over many shards.

Importing the package keeps uvloop from using io_uring, by an environment variable that
must be set before any event loop is created.
"""

from __future__ import annotations

import os

os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"

__all__ = ["__version__"]
