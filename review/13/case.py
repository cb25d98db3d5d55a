"""Configurations come in quick succession; the fronts stay at an old one.

All fronts miss more changes between two watches than they read in one answer. They ask
for the same changes again and again, until the store drops them from its history.
"""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from standins import Site, call, configuration, route, run_case  # noqa: E402

CONFIG_APPLY_S = 3.0
STORM_S, GAP_S = 2.0, 0.08
VALUE_BYTES = 1048576
OLD, NEW = "service-old", "service-new"
SHARDS = [f"shard{number:02d}x" for number in range(50)]
ROUTES = 1300  # over 50 shards each
MERGE = {"top-k": 50, "min-shard-ratio": 0.89}


def encode(version: int, service: str) -> bytes:
    routes = [route("r-read", "/read/", service)]
    routes += [
        route(f"r-{number:04d}", f"/s{number}/", gather=SHARDS, **MERGE)
        for number in range(ROUTES)
    ]
    value = configuration(version, routes, [OLD, NEW, *SHARDS])
    return json.dumps(value, separators=(",", ":")).encode()


async def case(record, trouble) -> int:
    site = Site(record, fronts=4)
    store = site.store
    # All versions but the last one send requests to the old service.
    last = 7 + (int(STORM_S / GAP_S) if trouble else 1)
    values = {n: encode(n, NEW if n == last else OLD) for n in range(7, last + 1)}
    confirmed_at = {}

    def configure(version: int) -> None:
        value = values[version]
        assert len(value) <= VALUE_BYTES
        revision = store.put("op/config", value)
        confirmed_at[version] = record.now()
        record.say(
            f"configuration {version} ({len(value)} bytes, route r-read goes to "
            f"{NEW if version == last else OLD}) is confirmed at revision {revision}"
        )

    try:
        await store.start()
        for number in range(3):
            await site.add_replica(f"i-old{number}", OLD)
            await site.add_replica(f"i-new{number}", NEW)
        configure(7)
        await site.start_fronts()
        await asyncio.sleep(5.0)
        next_at = record.now()
        for version in range(8, last + 1):
            configure(version)
            next_at += GAP_S
            await asyncio.sleep(max(0.0, next_at - record.now()))
        last_at = confirmed_at[last]
        await asyncio.sleep(CONFIG_APPLY_S + 0.2)
        statuses = {}
        for number in range(400):
            front = site.fronts[number % 4]
            attempt, sent_s = f"read-{number}", record.now() - last_at
            status, headers, _ = await call(
                front.address("frontend"), "GET", f"/read/{number}", attempt
            )
            statuses[status] = statuses.get(status, 0) + 1
            record.add(
                f"client {attempt} to {front.name}, sent {sent_s:.3f} s after the last "
                f"confirmation: {status} {headers.get('x-response-signature')}"
            )
            await asyncio.sleep(0.05)
        runs = [run for replica in site.replicas for run in replica.runs]
        wrong = [run for run in runs if run["service"] == OLD]
        for run in wrong[:3] + wrong[-3:]:
            record.say(
                f"{run['attempt']} was run by {OLD} {run['at'] - last_at:.3f} s after "
                f"configuration {last} was confirmed"
            )
        record.say(
            f"answers {statuses}; {len(runs)} requests run, {len(wrong)} of them by "
            f"{OLD}, as only configurations before {last} allow"
        )
        if len(runs) < 200:
            return 2
        return 1 if wrong else 0
    finally:
        await site.close()


sys.exit(run_case(FOLDER, case))
