"""A fleet of separate processes on loopback, with the operators' hands on it."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from .topology import (
    HOST,
    Plan,
    write_config,
    write_directory,
    write_process,
    write_upstreams,
    write_vms,
)

READY_TIMEOUT_S = 30.0
POLL_S = 0.05
STOP_TIMEOUT_S = 15.0


class FleetError(Exception):
    """A process did not come up or did not end as it should."""


@dataclass(slots=True)
class Fleet:
    """Processes of one experiment.

    Parameters
    ----------
    plan : Plan
        Ports and sizes.
    """

    plan: Plan
    folder: Path = field(init=False)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    alone: bool = False
    exit_codes: dict[str, int] = field(default_factory=dict)
    _scratch: tempfile.TemporaryDirectory = field(
        default_factory=lambda: tempfile.TemporaryDirectory(prefix="anvilhoist-")
    )
    _session: aiohttp.ClientSession | None = None

    def __post_init__(self):
        self.folder = Path(self._scratch.name)

    async def start(self, alone: bool = False, **config: Any) -> None:
        """Start the stand-ins and the tier, and publish the documents.

        Parameters
        ----------
        alone : bool
            Show each VM a list with no other VM, so that each one owns every
            replica and holds its limits on its own. It is a baseline.
        """
        self.alone = alone
        self._session = aiohttp.ClientSession()
        ports = ",".join(str(port) for port in self.plan.platform)
        self._spawn("platform", "bench.platform", "--ports", ports)
        for centre in self.plan.topology.data_centres:
            path = self._write(
                f"upstreams-{centre}", write_upstreams(self.plan, centre)
            )
            self._spawn(f"upstreams-{centre}", "bench.upstreams", "--settings", path)
        await self.wait_for(self._platform_answers, "the platform")
        await self.publish("config", write_config(self.plan, **config))
        await self.publish("vms", write_vms(self.plan))
        if alone:
            await self._publish_alone()
        await self.publish("directory", write_directory(self.plan))
        for number in range(len(self.plan.entries)):
            self.start_vm(number)

    def start_vm(self, number: int) -> None:
        """Start the processes of one entry VM."""
        self.start_dispatch(number)
        self.start_entry(number)

    def start_dispatch(self, number: int) -> None:
        """Start the dispatch process of one entry VM."""
        self._start_role("dispatch", number, self.plan.dispatch_address(number))

    def start_entry(self, number: int) -> None:
        """Start the entry process of one entry VM."""
        self._start_role("entry", number, self.plan.entry_address(number))

    async def wait_ready(self) -> None:
        """Wait until every process of the tier can serve."""
        for address in self.addresses:
            await self.wait_for(lambda at=address: self.is_ready(at), address)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all processes of the tier, dispatch processes first."""
        numbers = range(len(self.plan.entries))
        dispatches = tuple(self.plan.dispatch_address(item) for item in numbers)
        return dispatches + self.plan.entry_addresses

    async def wait_for(
        self, probe: Callable[[], Any], what: str, timeout: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until a coroutine function gives true.

        Raises
        ------
        FleetError
            If it doesn't within `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout
        while not await probe():
            if loop.time() > until:
                raise FleetError(f"timed out waiting for {what}")
            await asyncio.sleep(POLL_S)

    async def publish(self, key: str, text: str) -> int:
        """Publish a document as an operator would."""
        url = f"http://{HOST}:{self.plan.platform[0]}/admin/values/{key}"
        async with self._session.put(url, data=text) as reply:
            return (await reply.json())["revision"]

    async def _publish_alone(self) -> None:
        for number, port in enumerate(self.plan.platform):
            url = f"http://{HOST}:{self.plan.platform[0]}/admin/values/vms?port={port}"
            text = write_vms(self.plan, only=number)
            async with self._session.put(url, data=text) as reply:
                reply.raise_for_status()

    async def set_platform(self, mode: str, numbers: tuple[int, ...] = ()) -> None:
        """Set how the platform behaves towards some VMs, or towards all."""
        for number in numbers or range(len(self.plan.platform)):
            port = self.plan.platform[number]
            url = f"http://{HOST}:{self.plan.platform[0]}/admin/modes/{port}/{mode}"
            async with self._session.post(url) as reply:
                reply.raise_for_status()

    async def count_platform_calls(self) -> int:
        """Calls that the tier has made to the platform."""
        url = f"http://{HOST}:{self.plan.platform[0]}/admin/calls"
        async with self._session.get(url) as reply:
            return (await reply.json())["calls"]

    async def tell_upstreams(
        self, command: str, data_centre: str | None = None, **query: str
    ) -> None:
        """Send a command to the stand-ins of one data centre, or of all."""
        centres = (data_centre,) if data_centre else self.plan.topology.data_centres
        for centre in centres:
            url = f"http://{HOST}:{self.plan.admins[centre]}/{command}"
            async with self._session.post(url, params=query) as reply:
                reply.raise_for_status()

    async def read_upstreams(self, what: str) -> list[Any]:
        """Read from the stand-ins of all data centres."""
        found = []
        for centre in self.plan.topology.data_centres:
            url = f"http://{HOST}:{self.plan.admins[centre]}/{what}"
            async with self._session.get(url) as reply:
                found.append(await reply.json())
        return found

    async def read_operations(self, address: str, path: str) -> str:
        """Read one of the operators' paths of a process."""
        url = f"http://{address}{path}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with self._session.get(url, timeout=timeout) as reply:
            return await reply.text()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process that this fleet started."""
        self.processes[name].send_signal(number)

    async def stop_process(self, name: str, number: signal.Signals) -> int:
        """Send a signal to one process and wait for its end."""
        process = self.processes.pop(name)
        process.send_signal(number)
        code = await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        self.exit_codes[name] = code
        return code

    async def stop(self) -> None:
        """Stop everything, the tier first.

        Raises
        ------
        FleetError
            If a process had to be killed.
        """
        killed = await self._stop_all()
        if self._session is not None:
            await self._session.close()
        self._scratch.cleanup()
        if killed:
            raise FleetError(f"had to be killed: {', '.join(killed)}")

    async def _stop_all(self) -> list[str]:
        killed = []
        tier = [name for name in self.processes if name.startswith("vm-")]
        others = [name for name in self.processes if name not in tier]
        for names in (tier, others):
            for name in names:
                process = self.processes[name]
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
            for name in names:
                process = self.processes.pop(name)
                try:
                    code = await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
                    code = process.wait()
                    killed.append(name)
                self.exit_codes[name] = code
        return killed

    def _start_role(self, role: str, number: int, listen: str) -> None:
        name = f"{self.plan.vm_names[number]}-{role}"
        path = self._write(name, write_process(self.plan, number, listen, self.alone))
        self._spawn(name, f"searches.{role}", "--settings", path)

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"anvilhoist.{module}", *arguments]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )

    def _write(self, name: str, text: str) -> str:
        path = self.folder / f"{name}.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def read_log(self, name: str) -> str:
        """Log of a process so far."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    async def _platform_answers(self) -> bool:
        try:
            await self.count_platform_calls()
        except aiohttp.ClientError:
            return False
        return True

    async def is_ready(self, address: str) -> bool:
        """Whether a process says that it can serve."""
        try:
            return "true" in await self.read_operations(address, "/readyz")
        except (aiohttp.ClientError, TimeoutError):
            return False
