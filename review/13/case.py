"""Connections to the store go silent; a replica leaves without `draining`.

A front notices the silence after up to 2.8 s, reads the removal over a new connection,
and then keeps the replica for 2.3 s more, as if the store had been away.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from standins import Site, call, configuration, route, run_case  # noqa: E402

DRAIN_S, CONTACT_S = 3.0, 4.0
SERVICE = "records"
CLIENTS_PER_FRONT = 3


async def case(record, trouble) -> int:
    site = Site(record, fronts=4)
    try:
        await site.store.start()
        for number in range(6):
            await site.add_replica(f"i-{number:04x}", SERVICE, work_s=0.1)
        routes = [route("r-read", "/read/", SERVICE)]
        site.store.put("op/config", configuration(7, routes, [SERVICE]))
        await site.start_fronts()
        record.say("4 fronts are ready")
        sent, answers = {}, {}

        async def client(front, number, until) -> None:
            while record.now() < until:
                attempt = f"{front.name}-{number}-{len(sent)}"
                sent[attempt] = record.now()
                target = f"/read/{len(sent)}"
                status, headers, _ = await call(
                    front.address("frontend"), "GET", target, attempt
                )
                answers[attempt] = status
                record.add(
                    f"client {attempt} to {front.name}, sent at {sent[attempt]:.3f}: "
                    f"{status} {headers.get('x-response-signature')}"
                )
                await asyncio.sleep(0.05)

        async def press(seconds: float) -> None:
            """Let all clients send for a while."""
            until = record.now() + seconds
            numbers = range(CLIENTS_PER_FRONT)
            clients = [client(f, n, until) for f in site.fronts for n in numbers]
            await asyncio.gather(*clients)

        await press(8.0)
        silent_at = record.now()
        if trouble:
            count = site.store.silence()
            record.say(
                f"{count} open connections to the store go silent, new ones work"
            )
        await asyncio.sleep(0.3)
        leaver = site.replicas[0]
        leaver.extra = {"Server-Leaving": "1"}
        site.store.put(leaver.key, None)
        gone_at = record.now()
        record.say(
            f"the store confirms that the entry of {leaver.instance} is removed; the "
            "replica serves on for a while and says in its answers that it leaves"
        )
        # The callers are quiet for some seconds, then they come back.
        await asyncio.sleep(silent_at + CONTACT_S + 0.15 - record.now())
        await press(4.0)
        first_late = max(gone_at + DRAIN_S, silent_at + CONTACT_S)
        late = [
            run
            for run in leaver.runs
            if run["at"] > first_late and sent[run["attempt"]] > first_late
        ]
        for run in late:
            record.say(
                f"{leaver.instance} ran {run['attempt']} {run['at'] - gone_at:.3f} s after "
                f"its removal was confirmed, {run['at'] - silent_at:.3f} s after the "
                "connections went silent"
            )
        counts = {s: list(answers.values()).count(s) for s in set(answers.values())}
        record.say(f"answers: {counts}")
        record.say(
            f"{len(late)} requests reached {leaver.instance} later than drain-ms after "
            "its removal was confirmed, taken and sent on by machines in touch"
        )
        if len(leaver.runs) < 10 or len(answers) < 500:
            return 2
        return 1 if late else 0
    finally:
        await site.close()


sys.exit(run_case(FOLDER, case))
