"""Names on the wire: headers, paths, and the store's keys."""

from __future__ import annotations

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
TARGET_INSTANCE = b"x-target-instance"
DIGEST = b"x-response-signature"
SERVER_LOAD = b"x-server-load"
RATE_LIMIT = b"server-limit"
NOT_EXECUTED = b"x-not-executed"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
PART_DIGESTS = b"x-part-signatures"
MISSING_PARTS = b"x-missing-parts"
STORE_ERA = b"store-era"
CONTENT_ENCODING = b"content-encoding"

READINESS_PATH = "/anvilhoist/readiness"
RESOLVE_PATH = "/anvilhoist/resolve"
RANGE_PATH = "/anvilhoist/kv-range"
WATCH_PATH = "/anvilhoist/kv-watch"

REPLICA_KEY_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
DATA_CENTRE_OUT_KEY_PREFIX = "op/evacuate/"
