"""Start the process that serves callers, from a checkout."""

from __future__ import annotations

from anvilhoist.front.command import main

main()
