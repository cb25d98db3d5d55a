from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import psutil
import pytest

from anvilhoist.errors import ANSWERS, Kind, Ran
from runner import FleetRunner

BOOKING = {"service": "book-remelting", "ticket": "t", "payload": "p"}
SEARCH = {"service": "search-sorting", "query": "blue"}


async def exchange(address: str, data: bytes, *more: bytes, pause: float = 0.0) -> str:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        for item in more:
            await asyncio.sleep(pause)
            writer.write(item)
        return (await asyncio.wait_for(reader.read(65536), 15)).decode()
    finally:
        writer.close()


def post(path: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n"
    return head.encode() + body


@pytest.mark.process
class TestBadInput:
    @pytest.mark.parametrize(
        ("path", "body", "kind"),
        [
            ("/v1/search", b"not json", Kind.BAD_REQUEST),
            ("/v1/search", b"[]", Kind.BAD_REQUEST),
            ("/v1/search", json.dumps({**SEARCH, "x": 1}).encode(), Kind.BAD_REQUEST),
            (
                "/v1/search",
                json.dumps({**SEARCH, "deadline_ms": -5}).encode(),
                Kind.BAD_REQUEST,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "deadline_ms": "soon"}).encode(),
                Kind.BAD_REQUEST,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "service": "none"}).encode(),
                Kind.UNKNOWN_SERVICE,
            ),
            (
                "/v1/search",
                json.dumps({**SEARCH, "service": "book-remelting"}).encode(),
                Kind.WRONG_PROFILE,
            ),
            ("/v1/bookings", json.dumps(BOOKING).encode(), Kind.TICKET_REQUIRED),
            ("/v1/nothing", b"{}", Kind.NOT_FOUND),
            ("/v1/addresses", b"{}", Kind.METHOD_NOT_ALLOWED),
            ("/v1/search", b"x" * 300_000, Kind.TOO_LARGE),
        ],
    )
    def test_gets_its_kind(self, fleet: FleetRunner, path, body, kind):
        text = fleet.run(exchange(fleet.entry(), post(path, body)))
        head, _, answer = text.partition("\r\n\r\n")
        assert head.split()[1] == str(ANSWERS[kind].status), text
        parsed = json.loads(answer)
        assert parsed["error"] == kind.value
        assert parsed["ran"] == ANSWERS[kind].ran.value

    def test_half_a_body_harms_no_other_request(self, fleet: FleetRunner):
        async def both():
            half = post("/v1/search", b'{"service"', length=500)
            slow = asyncio.create_task(exchange(fleet.entry(), half))
            reply = await fleet.caller.call_at(fleet.entry(), "/v1/search", SEARCH)
            return await slow, reply

        slow, reply = fleet.run(both())
        assert reply.status == 200
        assert "too_slow" in slow

    def test_garbage_instead_of_http(self, fleet: FleetRunner):
        text = fleet.run(exchange(fleet.entry(), b"\x00\x01garbage\r\n\r\n"))
        assert "400" in text.split("\r\n")[0]
        assert fleet.search().status == 200


@pytest.mark.process
class TestProcesses:
    def test_no_child_no_io_uring_no_shared_memory(self, fleet: FleetRunner):
        for name, popen in fleet.fleet.processes.items():
            process = psutil.Process(popen.pid)
            assert process.children() == [], name
            links = [
                link.readlink().as_posix() if link.is_symlink() else ""
                for link in _list_descriptors(popen.pid)
            ]
            assert not any("io_uring" in link for link in links), name
            maps = [item.path for item in process.memory_maps()]
            shared = [path for path in maps if "/dev/shm" in path or "SYSV" in path]
            assert shared == [], name

    def test_health_readiness_and_metrics(self, fleet: FleetRunner):
        for address in fleet.fleet.addresses:
            health = fleet.run(fleet.fleet.read_operations(address, "/healthz"))
            assert health == "ok\n"
            metrics = fleet.run(fleet.fleet.read_operations(address, "/metrics"))
            assert "anvilhoist_documents_accepted" in metrics
            assert "anvilhoist_config_revision" in metrics
            assert "anvilhoist_platform_age_seconds" in metrics


def _list_descriptors(pid: int):
    from pathlib import Path

    return list(Path(f"/proc/{pid}/fd").iterdir())


@pytest.mark.process
class TestOperatorsCommand:
    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "anvilhoist.searches.operate", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def test_status_lists_each_process(self, fleet: FleetRunner):
        result = self.run("status", "--via", fleet.dispatch())
        assert result.returncode == 0, result.stderr
        assert result.stdout.count("config@1") == 8

    def test_explain_tells_what_was_decided(self, fleet: FleetRunner):
        reply = fleet.search(request_id="explained-1")
        assert reply.status == 200
        result = self.run("explain", "explained-1", "--via", fleet.entry(2))
        assert "pin: sorting@1" in result.stdout
        assert "first try" in result.stdout

    def test_check_names_file_key_found_and_allowed(self, tmp_path):
        path = tmp_path / "config.toml"
        path.write_text('[services.belt]\nprofile = "x"\n[profiles]\n[data_centres]\n')
        result = self.run("check", str(path))
        assert result.returncode == 3
        assert str(path) in result.stderr
        assert "services.belt.profile: found 'x'" in result.stderr

    @pytest.mark.parametrize(
        "arguments",
        [("status",), ("check", "a", "b", "c"), ("status", "--vai", "x"), ("nothing",)],
    )
    def test_wrong_line_exits_2(self, arguments):
        result = self.run(*arguments)
        assert result.returncode == 2
        assert "valid" not in result.stdout


class TestAnswers:
    def test_every_kind_has_an_answer(self):
        assert set(ANSWERS) == set(Kind)

    def test_what_may_have_reached_an_upstream_is_never_said_not_to_have_run(self):
        kinds = (Kind.UPSTREAM_FAILED, Kind.DEADLINE, Kind.PEER_LOST, Kind.CANCELLED)
        assert all(ANSWERS[kind].ran is not Ran.NO for kind in kinds)


class TestBinaries:
    @pytest.mark.parametrize("module", ["entry", "dispatch", "operate"])
    def test_version_and_help(self, module):
        for flag in ("--version", "--help"):
            command = [sys.executable, "-m", f"anvilhoist.searches.{module}", flag]
            result = subprocess.run(command, capture_output=True, text=True, timeout=30)
            assert result.returncode == 0, result.stderr
            assert result.stdout or result.stderr

    @pytest.mark.parametrize("module", ["entry", "dispatch"])
    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (("--settings", "/nonexistent.toml"), 3),
            (("--settings", "a", "--surplus", "b"), 2),
            (("a", "b"), 2),
            ((), 2),
            (("a", "--", "--interactive"), 2),
        ],
    )
    def test_wrong_line_starts_nothing(self, module, arguments, code):
        command = [sys.executable, "-m", f"anvilhoist.searches.{module}", *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert result.returncode == code, result.stderr
        assert "start" not in result.stdout
