"""Names on the wire: headers, paths, keys."""

from __future__ import annotations

REQUEST_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
TARGET_INSTANCE = b"x-target-instance"
DIGEST = b"x-response-signature"
LOAD = b"x-server-load"
NOT_RUN = b"x-not-executed"
RETRY_AFTER = b"retry-after"
PART_DIGESTS = b"x-part-signatures"
MISSING_PARTS = b"x-missing-parts"
CONTENT_ENCODING = b"content-encoding"

READINESS = "/anvilhoist/readiness"
RESOLVE = "/anvilhoist/resolve"
RANGE_CALL = "/anvilhoist/kv-range"
WATCH_CALL = "/anvilhoist/kv-watch"

REPLICA_KEYS = "servers/"
CONFIGURATION_KEY = "op/config"
DATA_CENTRE_OUT_KEYS = "op/evacuate/"
