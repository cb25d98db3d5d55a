"""Replicas send bodies without end; the fronts outgrow their machines' memory."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import HOST_NAME, Client, Deployment, Front, Record, run_case

SHARDS = [f"sortering-{n}" for n in range(20)]
REPLICAS_PER_SHARD = 2
QUERIES_PER_S = 44.9  # 33.7 + 11.2, as on the sheet, for all machines together
WORK_S = 0.035  # the mean of the two kinds of query on the sheet
CLIENTS = 40
MEMORY_MB = {"vaxjo": 430, "ljungby": 300}  # of the site's machines
LOAD_S = 100.0
# `garble` on the site: share 0.5, x 0.04, for 5 s, more than once.
GARBLE_SHARE = 0.5
GARBLE_X = 0.04
GARBLE_S = 5.0
GARBLE_PAUSE_S = 1.0
LOST_MAX = 3  # at one machine
RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.02
BLOCK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


class Trouble:
    """Switch of the trouble, replicas in trouble, and endless answers begun."""

    on = False
    begun = 0
    instances: frozenset[str] = frozenset()


async def send_without_end(replica, request, writer):
    """Answer as a replica in trouble: a body that goes on until the caller closes."""
    if not Trouble.on or random.random() >= GARBLE_X:
        return None
    Trouble.begun += 1
    attempt = request.headers.get("x-attempt-id", "")
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
        % attempt.encode()
    )
    while True:
        writer.write(BLOCK)
        await writer.drain()


async def keep_to_memory(
    deployment: Deployment, front: Front, record: Record, ends: list
):
    """Do what the platform does: kill a process over its memory, start it again."""
    limit = MEMORY_MB[front.zone] * 2**20 / 1e6
    while True:
        used = front.resident_mb()
        if front.process.poll() is not None or used > limit:
            record.write(
                "ends", front=front.number, zone=front.zone, resident_mb=round(used),
                limit_mb=round(limit), by_itself=front.process.poll(),
            )  # fmt: skip
            ends.append(front.number)
            front.signal(signal.SIGKILL)
            front.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            front.start()
            await deployment.wait_ready(front)
            record.write("ready", front=front.number)
        await asyncio.sleep(WATCH_INTERVAL_S)


def count_sound_runs(deployment: Deployment, attempt: str) -> int:
    """Return how many replicas without trouble have run a request."""
    return sum(
        found == attempt
        for replica in deployment.replicas
        if replica.instance not in Trouble.instances
        for found, _ in replica.runs
    )


async def run_client(
    deployment: Deployment, record: Record, name: str, end: float, counts: dict
):
    """Send queries on kept connections until the end; another front after a loss."""
    client = Client(random.choice(deployment.fronts), name)
    lost = counts["lost"]
    while time.monotonic() < end:
        await asyncio.sleep(random.expovariate(QUERIES_PER_S / CLIENTS))
        was_kept = client.is_open
        answer = await client.send(f"/search/{name}", 2.0)
        key = str(answer.status or "none")
        counts[key] = counts.get(key, 0) + 1
        if answer.status not in (0, 503):
            continue
        if not answer.status:
            runs = count_sound_runs(deployment, answer.attempt)
            is_lost = was_kept and runs > 0 and answer.why != "timeout"
            lost[client.front.number] += is_lost
            record.write(
                "no_answer", attempt=answer.attempt, front=client.front.number,
                on_kept_connection=was_kept, runs_at_sound_replicas=runs,
                why=answer.why, lost=is_lost,
            )  # fmt: skip
        client.close()
        client.front = random.choice(deployment.fronts)
    client.close()


async def case(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Run the load with and without the trouble; return the exit code."""
    await deployment.start_store()
    for service in SHARDS:
        for _ in range(REPLICAS_PER_SHARD):
            await deployment.add_replica(service, slots=3, queue=18, work_s=WORK_S)
    route = {
        "name": "pigment-lot-search", "hostname": HOST_NAME, "path-prefix": "/search/",
        "route-type": "idempotent", "timeout-ms": 2000, "target-latency-ms": 200,
        "max-attempts": 2, "priority": 1, "gather": SHARDS, "top-k": 50,
        "min-shard-ratio": 0.89,
    }  # fmt: skip
    deployment.publish([route], SHARDS)
    await deployment.start_fronts(2, ("vaxjo", "ljungby"))
    record.write("ready")
    ends: list[int] = []
    counts: dict = {"lost": [0] * len(deployment.fronts)}
    end = time.monotonic() + LOAD_S
    watchers = [
        asyncio.create_task(keep_to_memory(deployment, front, record, ends))
        for front in deployment.fronts
    ]
    clients = [
        asyncio.create_task(run_client(deployment, record, f"c{n}", end, counts))
        for n in range(CLIENTS)
    ]
    bad = random.sample(
        deployment.replicas, int(GARBLE_SHARE * len(deployment.replicas))
    )
    Trouble.instances = frozenset(replica.instance for replica in bad)
    for replica in bad if trouble else ():
        replica.fault = send_without_end
    while time.monotonic() < end:
        Trouble.on = True
        record.write("garble_begins", endless=Trouble.begun)
        await asyncio.sleep(GARBLE_S)
        Trouble.on = False
        sizes = [round(front.resident_mb()) for front in deployment.fronts]
        record.write("garble_ends", endless=Trouble.begun, resident_mb=sizes)
        await asyncio.sleep(GARBLE_PAUSE_S)
    await asyncio.gather(*clients)
    for watcher in watchers:
        watcher.cancel()
    lost = counts.pop("lost")
    record.write("answers", **counts)
    for front in deployment.fronts:
        number = front.number
        record.write("total", front=number, ends=ends.count(number), lost=lost[number])
    return 1 if max(lost) > LOST_MAX else 0


run_case(case)
