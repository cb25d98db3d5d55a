"""Libraries that the front process imports before it can serve."""

from __future__ import annotations

import subprocess
import sys

SLOW_LIBRARIES = (
    "aiohttp",
    "fire",
    "matplotlib",
    "numpy",
    "pydantic",
    "sanic",
    "websockets",
)


class TestStart:
    def test_loads_no_library_that_only_other_programs_need(self):
        code = (
            "import sys, anvilhoist.front.__main__, anvilhoist.front.process;"
            "print(*sys.modules)"
        )
        process = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert not set(SLOW_LIBRARIES) & set(process.stdout.split())
