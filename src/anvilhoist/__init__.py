"""A query tier over many shards.

Importing the package pins the event loop's behaviour, so that it happens before
any loop is made.
"""

from __future__ import annotations

import os

os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"

__all__ = ["__version__"]
