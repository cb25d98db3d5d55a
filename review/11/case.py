"""The store comes back from a copy; no later configuration comes into force."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from standins import Site, call, configuration, route, run_case  # noqa: E402

CONFIG_APPLY_S, CONTACT_S = 3.0, 4.0
OLD, NEW = "service-old", "service-new"


class Drill:
    """A small site, its operator and the drill with the store."""

    def __init__(self, record):
        self.record = record
        self.site = Site(record, fronts=3)
        self.store = self.site.store
        self.gone = []

    def configure(self, version: int, service: str) -> None:
        routes = [route("r-read", "/read/", service)]
        value = configuration(version, routes, [OLD, NEW])
        revision = self.store.put("op/config", value)
        self.record.say(
            f"configuration {version} (route r-read goes to {service}) is confirmed at "
            f"revision {revision}"
        )

    async def start(self) -> None:
        await self.store.start()
        for number in range(4):
            await self.site.add_replica(f"i-old{number}", OLD)
            await self.site.add_replica(f"i-new{number}", NEW)
        self.configure(7, OLD)
        await self.site.start_fronts()

    async def release(self) -> None:
        """Replace the replicas of the old service; each new one starts first."""
        old = [each for each in self.site.replicas if each.service == OLD]
        for number, leaver in enumerate(old):
            await self.site.add_replica(f"i-rel{number}", OLD, zone=leaver.zone)
            leaver.state = "draining"
            leaver.extra = {"Server-Leaving": "1"}
            self.store.put(leaver.key, leaver.entry())
            await asyncio.sleep(0.4)
        await asyncio.sleep(3.2)
        for leaver in old:
            self.store.put(leaver.key, None)
            await leaver.stop()
        self.gone = old
        await asyncio.sleep(0.5)

    async def lose_store(self, copy: tuple) -> None:
        """Take the store away for a second; it comes back from the copy."""
        say, store = self.record.say, self.store
        await store.stop()
        say("the store is away")
        await asyncio.sleep(1.0)
        store.come_back(copy)
        await store.start()
        say(f"it is back from the copy, at revision {store.revision}, era {store.era}")
        await asyncio.sleep(1.0)
        for replica in self.site.replicas:
            if replica not in self.gone and replica.key not in store.items:
                store.put(replica.key, replica.entry())
        say(f"replicas that the copy lacks have checked in: revision {store.revision}")
        await asyncio.sleep(2.6)
        for leaver in self.gone:
            store.put(leaver.key, None)
        say(f"entries of those that are gone have lapsed: revision {store.revision}")


async def case(record, trouble) -> int:
    drill = Drill(record)
    site, store = drill.site, drill.store
    try:
        await drill.start()
        copy = store.take_copy()
        record.say(f"a copy of the store is made at revision {store.revision}")
        await drill.release()
        record.say(f"a release is over; the store is at revision {store.revision}")
        if trouble:
            await drill.lose_store(copy)
        await asyncio.sleep(CONTACT_S + 2.0)
        drill.configure(8, NEW)
        confirmed_at = record.now()
        await asyncio.sleep(CONFIG_APPLY_S + 0.2)
        statuses = {}
        for number in range(300):
            front = site.fronts[number % 3]
            attempt, sent_s = f"read-{number}", record.now() - confirmed_at
            status, headers, _ = await call(
                front.address("frontend"), "GET", f"/read/{number}", attempt
            )
            statuses[status] = statuses.get(status, 0) + 1
            record.add(
                f"client {attempt} to {front.name}, sent {sent_s:.3f} s after the "
                f"confirmation: {status} {headers.get('x-response-signature')}"
            )
            await asyncio.sleep(0.02)
        runs = [run for replica in site.replicas for run in replica.runs]
        wrong = [run for run in runs if run["service"] == OLD]
        for run in wrong[:3] + wrong[-3:]:
            record.say(
                f"{run['attempt']} was run by {OLD} {run['at'] - confirmed_at:.3f} s "
                "after configuration 8 was confirmed"
            )
        record.say(
            f"answers {statuses}; {len(runs)} requests run, {len(wrong)} of them by "
            f"{OLD}, as only configuration 7 allows"
        )
        if len(runs) < 200:
            return 2
        return 1 if wrong else 0
    finally:
        await site.close()


sys.exit(run_case(FOLDER, case))
