"""The store link of one front flaps; another front keeps using a replica that is gone."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.standins import TROUBLE, Client, make_route, make_service, run_case

ZONES = ("vaxjo", "alvesta", "ljungby")
DRAIN_S = 3.0  # `drain-ms`
CUT_S, UP_S = 1.2, 0.9  # each cut of the flapping link, and the pause after it
STORM_GAP_S, STORM_S = 0.33, 4.0  # `gap_s` and `for_s` of config_storm
STORMS_AT = (4.0, 8.0)  # seconds from the start of traffic
FLAPS_FROM, FLAPS_UNTIL = 4.0, 11.5
REMOVED_AT = 6.5
TRAFFIC_S = 16.0
SLACK_S = 0.05  # a request counts as late only if it is clearly late


def find_follower(case):
    """Return the front that reads through the others, as its log says."""
    for number, front in enumerate(case.fronts):
        reads = [line for line in front.read_log().splitlines() if "reads_thr" in line]
        if reads and json.loads(reads[-1])["relays"] != "the store":
            return number
    raise OSError("no front reads through others")


async def play(case):
    await case.start_store()
    for n in range(4):
        await case.add_replica(f"i-{n + 1}", "smaltning", ZONES[n % 2])
    routes = [make_route("read", "/read/", "smaltning")]
    services = [make_service("smaltning")]
    case.put_configuration(routes, services)
    await case.start_fronts()
    await asyncio.sleep(4.0)
    follower = find_follower(case)
    flapping = next(n for n in range(len(case.fronts)) if n != follower)
    case.record.say(
        f"front-{follower + 1} reads through the others; the link between the store "
        f"and front-{flapping + 1} flaps"
    )
    client = Client(case.record, "c", case.fronts[follower])
    start = case.record.now

    async def wait_until(at):
        await asyncio.sleep(max(0.0, start + at - case.record.now))

    async def call():
        while case.record.now < start + TRAFFIC_S:
            await client.send("/read/x")
            await asyncio.sleep(0.02)

    async def change():
        for at in STORMS_AT:
            await wait_until(at)
            while case.record.now < start + at + STORM_S:
                case.put_configuration(routes, services)
                await asyncio.sleep(STORM_GAP_S)

    async def flap():
        await wait_until(FLAPS_FROM)
        while TROUBLE and case.record.now < start + FLAPS_UNTIL:
            case.proxies[flapping].set_cut(True)
            case.record.note(f"link of front-{flapping + 1} is cut")
            await asyncio.sleep(CUT_S)
            case.proxies[flapping].set_cut(False)
            case.record.note(f"link of front-{flapping + 1} is healed")
            await asyncio.sleep(UP_S)

    async def remove():
        await wait_until(REMOVED_AT)
        return case.store.put(case.replicas[0].key, None)

    *_, removed_at = await asyncio.gather(call(), change(), flap(), remove())
    gone = case.replicas[0]
    after = [run for run in gone.arrivals if run.at > removed_at]
    late = [run for run in after if run.at > removed_at + DRAIN_S + SLACK_S]
    last_s = max((run.at - removed_at for run in after), default=0.0)
    for run in late:
        case.record.note(f"BROKEN: {run.attempt} reached {gone.instance} at {run.at:.3f}")
    statuses = sorted({result.status for result in client.results})
    case.record.say(f"{len(client.results)} requests, statuses {statuses}")
    case.record.say(
        f"{gone.instance} was removed at {removed_at:.3f}; {len(after)} requests reached "
        f"it after that, the last {last_s:.2f} s later, {len(late)} of them too late"
    )
    return bool(late)


run_case(__file__, ZONES, ["vaxjo", "vaxjo", "vaxjo"], play)
