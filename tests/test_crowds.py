"""Crowds of clients that keep to no limits, against a VM's process on loopback.

Each test checks that the process lives, that its memory and its open descriptors stay
under a bound, and that an ordinary request is answered while the crowd is still there.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import pytest

from anvilhoist.forward.refusal import MAX_RETRY_AFTER_S
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.platform import names
from anvilhoist.site.crowd import (
    Crowd,
    send_chunks,
    send_head,
    send_pipelined,
    send_request,
    send_trailers,
)
from anvilhoist.site.endless import ENDLESS_FAULTS
from anvilhoist.site.site import (
    BOOK_PREFIX,
    HOST_NAME,
    READ_PREFIX,
    SEARCH_PREFIX,
    Site,
)

MEMORY_BOUND_BYTES = 300 << 20  # memory of the smallest VM
DESCRIPTORS = 4100  # of the smallest VM
ANSWER_TIMEOUT_S = 120.0  # patience for one ordinary request
STORE_FLOOD_S = 5.0
LOG_WRITTEN_AFTER_S = 1.0
LOG_LINES_SHOWN = 40
BODY_BYTES = 262_144  # `max-body-bytes` as callers know it
# Nothing that the crowd sends is refused for its size or its time alone.
WIDE_LIMITS = ConnectionLimits(
    header_bytes=64 << 10, body_bytes=4 << 20, header_s=600.0, idle_s=600.0
)

API_PATH = "/v1/search"

pytestmark = pytest.mark.crowd
_loopback_octets = itertools.count(201)


def make_site(**options) -> Site:
    return Site(next(_loopback_octets), vms=1, **options)


def read_peak_memory(site: Site) -> int:
    """Return the largest resident memory of the VM's process so far, in bytes."""
    status = Path(f"/proc/{site.fleet[0].process.pid}/status").read_text()
    (line,) = (text for text in status.splitlines() if text.startswith("VmHWM"))
    return int(line.split()[1]) << 10


def count_descriptors(site: Site) -> int:
    return len(list(Path(f"/proc/{site.fleet[0].process.pid}/fd").iterdir()))


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a proper request.

    Attributes
    ----------
    retry_after_s : float or None
        When the caller is to come back, in seconds; None if nothing says so.
    """

    status: int
    retry_after_s: float | None


async def send_ordinary_request(
    site: Site, method="GET", target=READ_PREFIX, body=b""
) -> Answer:
    """Send a proper request on a connection of its own."""
    headers = {"Host": HOST_NAME, names.ATTEMPT_ID.decode(): f"{id(body)}-{target}"}
    url = f"http://{site.fleet[0].callers_address}{target}"
    timeout = aiohttp.ClientTimeout(ANSWER_TIMEOUT_S)
    async with aiohttp.request(
        method, url, headers=headers, data=body, timeout=timeout
    ) as reply:
        await reply.read()
        retry_after = reply.headers.get("Retry-After")
        return Answer(reply.status, retry_after and float(retry_after))


async def check_vm(site: Site) -> None:
    """Check what holds for the VM's process whatever its clients do."""
    check_process(site)
    await check_served(site)


def check_process(site: Site) -> None:
    assert site.fleet[0].process.poll() is None
    assert read_peak_memory(site) < MEMORY_BOUND_BYTES
    assert count_descriptors(site) < (site.descriptors or DESCRIPTORS)


async def check_served(site: Site) -> None:
    answer = await send_ordinary_request(site)
    assert answer.status == 200, await read_last_log_lines(site)


async def check_served_after_faults(site: Site) -> None:
    """Check that a caller is served once replicas answer again.

    All of them have just been silent for longer than a replica is waited for. Until
    one is tried again, requests are refused at once, and their callers come back.
    """
    answer = await send_ordinary_request(site)
    if answer.status == 503:
        assert 0 < answer.retry_after_s <= MAX_RETRY_AFTER_S
        await asyncio.sleep(answer.retry_after_s)
        answer = await send_ordinary_request(site)
    assert answer.status == 200, await read_last_log_lines(site)


async def read_last_log_lines(site: Site) -> str:
    """Return the last lines of the VM's log, once they have been written."""
    await asyncio.sleep(LOG_WRITTEN_AFTER_S)
    lines = site.read_log(site.fleet[0].name).splitlines()
    return "\n".join(lines[-LOG_LINES_SHOWN:])


def run_crowd(requests: Iterable[Iterable[bytes]], site: Site, fault: str = "") -> None:
    """Run a crowd against one VM and check the VM while the crowd is connected.

    All replicas that answer the crowd are under `fault`; it ends before the check. The
    crowd uses the JSON interface if the VM serves it.
    """

    async def run() -> None:
        try:
            await site.start()
            await set_faults(site, fault)
            vm = site.fleet[0]
            crowd = Crowd(vm.api_address if site.serves_api else vm.callers_address)
            try:
                await crowd.run(requests)
                if fault:
                    await wait_until_handled(site)
                await set_faults(site, "")
                await check_vm(site)
            finally:
                await crowd.close()
            await check_vm(site)
        finally:
            await site.stop()

    asyncio.run(run())


async def wait_until_handled(site: Site) -> None:
    """Wait until the VM handles no request: while replicas are full, it refuses more.

    Responses may be unread all the while.
    """
    url = f"http://{site.fleet[0].metrics_address}/metrics"
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            async with aiohttp.request("GET", url) as reply:
                lines = (await reply.text()).splitlines()
            (line,) = (text for text in lines if "anvilhoist_requests_open{" in text)
            if float(line.split()[-1]) == 0:
                return
            await asyncio.sleep(0.1)


async def set_faults(site: Site, fault: str) -> None:
    for instance in site.entries:
        await site.set_fault(instance, fault)


class TestCrowds:
    def test_trailers_without_end(self):
        run_crowd((send_trailers(3 << 20) for _ in range(20)), make_site())

    def test_bodies_in_chunks_of_one_byte(self):
        run_crowd((send_chunks(BODY_BYTES - 1, b"x") for _ in range(40)), make_site())

    def test_bodies_that_stop_before_their_end(self):
        site = make_site(limits=WIDE_LIMITS)
        block = b"x" * 65536
        run_crowd((send_chunks(63, block) for _ in range(100)), site)

    def test_heads_that_stop_before_their_end(self):
        site = make_site(limits=WIDE_LIMITS)
        run_crowd((send_head(60 << 10) for _ in range(200)), site)

    def test_requests_that_wait_behind_another(self):
        run_crowd((send_pipelined(1 << 20) for _ in range(60)), make_site())

    def test_long_answers_that_are_not_read(self):
        site = make_site(limits=WIDE_LIMITS)
        requests = (send_request(f"{READ_PREFIX}{n}") for n in range(100))
        run_crowd(requests, site, "long")

    def test_more_connections_than_descriptors(self):
        site = make_site(limits=WIDE_LIMITS, descriptors=200)
        run_crowd((send_head(0) for _ in range(300)), site)

    def test_idle_connections(self):
        site = make_site(limits=WIDE_LIMITS, descriptors=200)
        run_crowd(([b""] for _ in range(300)), site)


class TestCrowdsOfTheJsonInterface:
    def test_idle_connections(self):
        site = make_site(limits=WIDE_LIMITS, descriptors=200, serves_api=True)
        run_crowd(([b""] for _ in range(300)), site)

    def test_bodies_in_chunks_of_one_byte(self):
        site = make_site(serves_api=True)
        run_crowd(
            (send_chunks(BODY_BYTES - 1, b"x", API_PATH) for _ in range(20)), site
        )

    def test_trailers_without_end(self):
        site = make_site(serves_api=True)
        run_crowd((send_trailers(20 << 20, API_PATH) for _ in range(20)), site)

    def test_bodies_that_stop_before_their_end(self):
        site = make_site(serves_api=True)
        block = b"x" * 65536
        run_crowd((send_chunks(3, block, API_PATH) for _ in range(1500)), site)


def send_in_turn(site: Site, fault: str, count: int, **request) -> None:
    """Let eight clients send ordinary requests one after the other, then check the VM.

    All replicas are under `fault` until the check.
    """

    async def run() -> None:
        numbers = iter(range(count))

        async def send() -> None:
            for _ in numbers:
                await send_ordinary_request(site, **request)

        try:
            await site.start(work_s=0.0, slots=8)
            await set_faults(site, fault)
            await asyncio.gather(*(send() for _ in range(8)))
            await set_faults(site, "")
            check_process(site)
            await (check_served_after_faults if fault else check_served)(site)
        finally:
            await site.stop()

    asyncio.run(run())


class TestMemoryThatRequestsLeave:
    """What a request held is given back when it ends, not by the cyclic collector."""

    def test_bookings_with_long_bodies(self):
        body = b"x" * BODY_BYTES
        send_in_turn(
            make_site(), "", 2000, method="POST", target=BOOK_PREFIX, body=body
        )

    def test_answers_without_end(self):
        send_in_turn(make_site(), "endless", 200, target=READ_PREFIX)

    def test_parts_without_end(self):
        send_in_turn(make_site(), "endless", 200, target=SEARCH_PREFIX)

    def test_long_answers(self):
        send_in_turn(make_site(), "long", 500, target=READ_PREFIX)


@pytest.mark.parametrize("fault", ENDLESS_FAULTS)
class TestAnswersWithoutEnd:
    """Replicas send bytes without end, in a head or a body, or that are no HTTP."""

    def test_to_requests(self, fault):
        send_in_turn(make_site(), fault, 100, target=READ_PREFIX)

    def test_to_queries(self, fault):
        send_in_turn(make_site(), fault, 100, target=SEARCH_PREFIX)


class TestStoreWithoutEnd:
    """The store sends heads that no reader takes, for longer than a VM keeps trying."""

    def test_the_vm_serves_what_it_knows(self):
        site = make_site()

        async def run() -> None:
            try:
                await site.start()
                await site.send_store_command("mode", mode="flood")
                await asyncio.sleep(STORE_FLOOD_S)
                await check_vm(site)
            finally:
                await site.stop()

        asyncio.run(run())
