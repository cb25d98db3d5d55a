"""Names on the wire stay within the platform folder, and modules stay short."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import anvilhoist
from anvilhoist.platform import names

ROOT = Path(anvilhoist.__file__).parent
FOLDERS_WITHOUT_WIRE_NAMES = (
    "front", "forward", "http", "oncall", "peers", "searches", "site", "upstreams",
    "world",
)  # fmt: skip
MAX_MODULE_LINES = 350

DOCUMENT_FIELDS = (
    "hostname", "path-prefix", "route-type", "timeout-ms", "target-latency-ms",
    "max-attempts", "traffic-split", "top-k", "min-shard-ratio", "allowed-regions",
    "backend", "backends", "max-connections", "warmup-left-ms", "warmup-per-s",
    "has-more", "wait-ms", "addrs", "ttl_s", "bind-addresses", "node-name",
    "idle-timeout-ms", "max-body-bytes", "stale-ok",
)  # fmt: skip


def list_wire_names() -> set[str]:
    """Return all header, path, key and field names except `content-encoding`."""
    values = {value for key, value in vars(names).items() if key.isupper()}
    texts = {v.decode() if isinstance(v, bytes) else v for v in values}
    return {text for text in texts if text != "content-encoding"} | set(DOCUMENT_FIELDS)


def list_modules() -> list[Path]:
    """Return the modules that must not know a wire name."""
    found = [
        path
        for name in FOLDERS_WITHOUT_WIRE_NAMES
        for path in (ROOT / name).glob("*.py")
    ]
    return found + list(ROOT.glob("*.py"))


class TestPlatformFolder:
    @pytest.mark.parametrize("path", list_modules(), ids=lambda path: path.name)
    def test_no_other_module_knows_a_wire_name(self, path):
        text = path.read_text(encoding="utf-8").lower()
        quoted = set(re.findall(r"b?\"([^\"\n]*)\"", text))
        assert not quoted & list_wire_names()
        assert "/anvilhoist/" not in text

    def test_no_module_is_large(self):
        large = [
            p
            for p in ROOT.rglob("*.py")
            if len(p.read_text().splitlines()) > MAX_MODULE_LINES
        ]
        assert [path.name for path in large] == []
