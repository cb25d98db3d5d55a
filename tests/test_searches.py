"""The JSON interface of a small site of real processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import psutil
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from anvilhoist.code_digest import compute_code_digest
from anvilhoist.errors import ERROR_RESPONSES, ErrorKind
from anvilhoist.oncall.status import fetch_fleet_status, format_fleet_status
from anvilhoist.site.site import DATA_CENTRES, SHARDS, Site
from conftest import WORKER

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("searches")]

scenarios("features/searches.feature")

LOOPBACK_OCTET = 240  # second octet of the site's addresses, plus the worker's number
SEARCH = {"service": "search", "query": "blue"}
BOOKING = {"service": "book", "ticket": "t", "payload": "p"}
DEADLINE_MS = 2000
SHUTDOWN_LOAD_S = 2.5  # time for which searches run while a VM shuts down


@dataclass(slots=True)
class SiteRunner:
    """A site on an event loop of its own thread, driven from synchronous tests."""

    site: Site
    replies: list[tuple[int, dict]] = field(default_factory=list)
    ticket: str = ""
    exit_code: int | None = None
    _loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.new_event_loop)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.run(self.site.start())

    def stop(self) -> None:
        self.run(self.site.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def run(self, coroutine) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(60)

    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def restore(self) -> None:
        """Undo every fault and outage, and remove earlier replies."""
        self.replies.clear()
        self.run(self._restore())

    async def _restore(self) -> None:
        for data_centre in DATA_CENTRES:
            await self.site.set_data_centre_out(data_centre, False)
        for instance in self.site.entries:
            await self.site.set_fault(instance, "")
        await asyncio.sleep(1.0)

    def call(self, vm: int, path: str, body: dict | None = None) -> None:
        """Send a request to a VM and append its reply to `replies`."""
        self.replies.append(self.run(self._call(vm, path, body)))

    async def _call(self, vm: int, path: str, body: dict | None) -> tuple[int, dict]:
        url = f"http://{self.site.fleet[vm].api_address}{path}"
        method = "GET" if body is None else "POST"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as reply,
        ):
            return reply.status, await reply.json()

    @property
    def issuer(self) -> int:
        name = self.ticket.rsplit(".", 2)[0]
        return [vm.name for vm in self.site.fleet].index(name)

    def set_fault(self, service: str, fault: str) -> None:
        for instance, entry in self.site.entries.items():
            if entry.service == service:
                self.run(self.site.set_fault(instance, fault))

    def count_runs(self) -> int:
        runs = self.run(self.site.read_runs())
        return sum(f"/{self.ticket} " in run["line"] for run in runs)


@pytest.fixture(scope="module")
def runner() -> Iterator[SiteRunner]:
    """A small site, started once for this module."""
    site_runner = SiteRunner(Site(LOOPBACK_OCTET + WORKER, serves_api=True))
    try:
        site_runner.start()
        yield site_runner
    finally:
        site_runner.stop()


@given("a running site")
def running_site(runner: SiteRunner):
    runner.restore()


@when(parsers.parse('"{service}" is searched through every VM'))
def search(runner: SiteRunner, service: str):
    for vm in range(len(runner.site.fleet)):
        body = {"service": service, "query": "blue", "request_id": f"blue-{vm}"}
        runner.call(vm, "/v1/search", body)


@when(parsers.parse('no replica of "{service}" responds'))
def make_unresponsive(runner: SiteRunner, service: str):
    runner.set_fault(service, "dark")


@when(parsers.parse('every replica of "{service}" answers with a reset'))
def reset_connections(runner: SiteRunner, service: str):
    runner.set_fault(service, "reset")


@when(parsers.parse('data centre "{data_centre}" is taken out of service'))
def take_data_centre_out(runner: SiteRunner, data_centre: str):
    runner.run(runner.site.set_data_centre_out(data_centre, True))


@when("all data centres are taken out of service")
def take_all_out(runner: SiteRunner):
    for data_centre in DATA_CENTRES:
        runner.run(runner.site.set_data_centre_out(data_centre, True))


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(runner: SiteRunner, seconds: int):
    runner.wait(seconds)


@when("a ticket is issued")
def issue(runner: SiteRunner):
    runner.call(1, "/v1/tickets", {"service": "book"})
    runner.ticket = runner.replies.pop()[1]["value"]


def book(runner: SiteRunner, vms, **changes) -> None:
    body = {"service": "book", "ticket": runner.ticket, "payload": "p", **changes}
    for vm in vms:
        runner.call(vm, "/v1/bookings", body)


@when("its booking is sent through every VM")
def book_everywhere(runner: SiteRunner):
    book(runner, range(len(runner.site.fleet)))


@when("its booking is sent through the issuer")
def book_at_issuer(runner: SiteRunner):
    book(runner, [runner.issuer])


@when(
    parsers.parse(
        "its booking is sent through every other VM within {deadline_ms:d} ms"
    )
)
def book_elsewhere(runner: SiteRunner, deadline_ms: int):
    others = set(range(len(runner.site.fleet))) - {runner.issuer}
    book(runner, sorted(others), deadline_ms=deadline_ms)


@when("its outcome is requested from every VM")
def request_outcome(runner: SiteRunner):
    for vm in range(len(runner.site.fleet)):
        runner.call(vm, f"/v1/outcomes/{runner.ticket}")


@when("its issuer is killed and starts again")
def restart_issuer(runner: SiteRunner):
    vm = runner.site.fleet[runner.issuer]
    runner.site.signal_vm(vm, signal.SIGKILL)
    vm.process.wait(10)
    runner.site.start_vm(vm)
    runner.run(runner.site.wait_ready(vm))
    runner.wait(1.0)


@when("its issuer is paused")
def pause_issuer(runner: SiteRunner):
    runner.site.signal_vm(runner.site.fleet[runner.issuer], signal.SIGSTOP)


@when("its issuer is resumed")
def resume_issuer(runner: SiteRunner):
    runner.site.signal_vm(runner.site.fleet[runner.issuer], signal.SIGCONT)


@when("searches run while a VM gets SIGTERM")
def stop_vm_under_load(runner: SiteRunner):
    vm = runner.site.fleet[2]
    runner.run(search_during_shutdown(runner, vm))
    runner.exit_code = vm.process.wait(10)
    runner.site.start_vm(vm)
    runner.run(runner.site.wait_ready(vm))


async def search_during_shutdown(runner: SiteRunner, stopping) -> None:
    """Search through the addresses that the tier lists while a VM shuts down."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SHUTDOWN_LOAD_S
    runner.site.signal_vm(stopping, signal.SIGTERM)
    for number in itertools.count():
        if loop.time() > end:
            return
        _, body = await runner._call(0, "/v1/addresses", None)
        address = body["addresses"][number % len(body["addresses"])]
        index = [vm.api_address for vm in runner.site.fleet].index(address)
        runner.replies.append(await runner._call(index, "/v1/search", SEARCH))


@then("every answer covers all shards of one version")
def covers_all(runner: SiteRunner):
    assert runner.replies
    for status, body in runner.replies:
        assert status == 200, body
        assert body["coverage"]["missing"] == []
        assert body["coverage"]["covered"] == len(SHARDS)
    assert len({body["snapshot"]["version"] for _, body in runner.replies}) == 1


@then("every answer has its hits in descending order")
def has_sorted_hits(runner: SiteRunner):
    # The replicas of the test site derive their records from the attempt id, which is
    # the request id here, so the hits of two requests differ.
    assert all(len(body["hits"]) == 5 for _, body in runner.replies)
    for _, body in runner.replies:
        assert body["hits"] == sorted(body["hits"], reverse=True)


@then(parsers.parse('every answer names only "{shard}" as missing'))
def names_missing(runner: SiteRunner, shard: str):
    for status, body in runner.replies:
        assert status == 200, body
        assert body["coverage"]["missing"] == [shard]
        assert body["coverage"]["covered"] == len(SHARDS) - 1


@then("every reply is an error of status 503 or 504")
def all_errors(runner: SiteRunner):
    for status, body in runner.replies:
        assert status in (503, 504), body
        assert ERROR_RESPONSES[ErrorKind(body["error"])].executed.value == body["ran"]


@then("every reply holds the same confirmation")
def same_confirmation(runner: SiteRunner):
    assert {status for status, _ in runner.replies} == {200}, runner.replies
    assert len({body["value"] for _, body in runner.replies}) == 1


@then(parsers.parse("the booking ran {times:d} times"))
def ran_times(runner: SiteRunner, times: int):
    assert runner.count_runs() == times


@then("the booking ran at most once")
def ran_at_most_once(runner: SiteRunner):
    assert runner.count_runs() <= 1


@then("no reply says that it was not run")
def none_says_not_run(runner: SiteRunner):
    not_run = [body for _, body in runner.replies if body.get("ran") == "no"]
    assert runner.replies and not not_run


@then("every reply says that it was not run")
def all_say_not_run(runner: SiteRunner):
    assert {body.get("ran") for _, body in runner.replies} == {"no"}, runner.replies


@then("the VM exits with code 0")
def exited_with_zero(runner: SiteRunner):
    assert runner.exit_code == 0


async def send_raw(address: str, data: bytes) -> str:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return (await asyncio.wait_for(reader.read(65536), 15)).decode()
    finally:
        writer.close()


def encode_post(path: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n"
    return head.encode() + body


class TestBadInput:
    @pytest.mark.parametrize(
        ("path", "body", "kind"),
        [
            ("/v1/search", b"not json", ErrorKind.BAD_REQUEST),
            ("/v1/search", b"[]", ErrorKind.BAD_REQUEST),
            (
                "/v1/search",
                json.dumps({**SEARCH, "x": 1}).encode(),
                ErrorKind.BAD_REQUEST,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "deadline_ms": -5}).encode(),
                ErrorKind.BAD_REQUEST,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "deadline_ms": "soon"}).encode(),
                ErrorKind.BAD_REQUEST,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "service": "none"}).encode(),
                ErrorKind.UNKNOWN_SERVICE,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "service": "book"}).encode(),
                ErrorKind.WRONG_PROFILE,
            ),
            (
                "/v1/tickets",
                json.dumps({"service": "search"}).encode(),
                ErrorKind.WRONG_PROFILE,
            ),
            ("/v1/bookings", json.dumps(BOOKING).encode(), ErrorKind.TICKET_REQUIRED),
            ("/v1/nothing", b"{}", ErrorKind.NOT_FOUND),
            ("/v1/addresses", b"{}", ErrorKind.METHOD_NOT_ALLOWED),
            ("/v1/search", b"x" * 300_000, ErrorKind.TOO_LARGE),
        ],
    )
    def test_is_answered_with_its_error_kind(
        self, runner: SiteRunner, path, body, kind
    ):
        text = runner.run(
            send_raw(runner.site.fleet[0].api_address, encode_post(path, body))
        )
        response_head, _, answer = text.partition("\r\n\r\n")
        assert response_head.split()[1] == str(ERROR_RESPONSES[kind].status), text
        parsed = json.loads(answer)
        assert parsed["error"] == kind.value
        assert parsed["ran"] == ERROR_RESPONSES[kind].executed.value

    def test_half_a_body_harms_no_other_request(self, runner: SiteRunner):
        runner.restore()

        async def both():
            half = encode_post("/v1/search", b'{"service"', length=500)
            address = runner.site.fleet[0].api_address
            slow = asyncio.create_task(send_raw(address, half))
            reply = await runner._call(0, "/v1/search", SEARCH)
            return await slow, reply

        slow, (status, _) = runner.run(both())
        assert status == 200
        assert "too_slow" in slow

    def test_ticket_of_another_service_is_misused(self, runner: SiteRunner):
        runner.restore()
        issue(runner)
        book(runner, [0], service="other")
        assert runner.replies[-1][1]["error"] == ErrorKind.TICKET_MISUSED.value

    def test_ticket_with_another_payload_is_misused(self, runner: SiteRunner):
        runner.restore()
        issue(runner)
        book(runner, [0])
        book(runner, [2], payload="other")
        assert runner.replies[-1][1]["error"] == ErrorKind.TICKET_MISUSED.value


class TestProcesses:
    def test_no_child_no_io_uring_no_shared_memory(self, runner: SiteRunner):
        for vm in runner.site.fleet:
            process = psutil.Process(vm.process.pid)
            assert process.children() == [], vm.name
            links = [item.path for item in process.open_files()]
            assert not any("io_uring" in link for link in links), vm.name
            maps = [item.path for item in process.memory_maps()]
            assert not [p for p in maps if "/dev/shm" in p or "SYSV" in p], vm.name

    def test_status_lists_each_vm(self, runner: SiteRunner):
        runner.restore()
        fleet = runner.run(fetch_fleet_status(runner.site.fleet[0].metrics_address))
        assert fleet.read_errors == {}
        lines = format_fleet_status(fleet)
        assert len(lines) == len(runner.site.fleet)
        assert all(f"code {compute_code_digest()}" in line for line in lines)
        assert all(
            f"configuration {runner.site.configuration_version}" in line
            for line in lines
        )

    def test_status_names_the_vms_that_are_not_read(self, runner: SiteRunner):
        fleet = runner.run(fetch_fleet_status("127.0.0.1:9"))
        assert "127.0.0.1:9" in format_fleet_status(fleet)[0]
