"""Start and control a small site: store, replicas and the tier's processes."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import tempfile
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import aiohttp
import tomli_w

from ..clock import read_boottime
from ..http.limits import ConnectionLimits
from ..platform import names
from ..platform.publish import (
    data_centre_out_key,
    encode_configuration,
    encode_replica,
    replica_key,
)
from ..world.model import Configuration, Gather, ReplicaEntry, Route, Service
from .spawn import spawn_module

DATA_CENTRES = ("vaxjo", "alvesta", "ljungby")
REGION = "smaland"
HOST_NAME = "site.example"
SEARCH_PREFIX = "/search/"
READ_PREFIX = "/read/"
BOOK_PREFIX = "/book/"
SHARDS = tuple(f"shard-{number}" for number in range(8))
NEXT_SHARDS = tuple(f"next-{number}" for number in range(10))
UNSHARDED_SERVICE = "records"
START_TIMEOUT_S = 15.0  # Time for a process to get ready.
EXIT_TIMEOUT_S = 10.0  # Time for a process to end after SIGTERM, before SIGKILL.
VM_MODULE = "anvilhoist.front"
VM_STOP_S = 3.0  # Setting `stop_s` of the VMs: time from SIGTERM to SIGKILL.


@dataclass(slots=True)
class Vm:
    """One process of the tier, on a loopback address of its own.

    Attributes
    ----------
    name, host, data_centre, store_address : str
        Name, IP address, data centre, and address of the store from the next start on.
    """

    name: str
    host: str
    data_centre: str
    process: subprocess.Popen | None = None
    store_address: str = ""

    @property
    def callers_address(self) -> str:
        """Address for requests of callers."""
        return f"{self.host}:21904"

    @property
    def api_address(self) -> str:
        """Address of the JSON interface."""
        return f"{self.host}:21910"

    @property
    def metrics_address(self) -> str:
        """Address of metrics and status, for operators."""
        return f"{self.host}:21981"

    @property
    def directory_address(self) -> str:
        """Address of the directory that tells callers where to connect."""
        return f"{self.host}:21900"


@dataclass(slots=True)
class Site:
    """A running site, controlled by a test or an experiment.

    Parameters
    ----------
    loopback_octet : int
        Second octet of its addresses (127.x); must differ between running sites.
    vms : int
        Number of VMs.
    serves_api : bool
        Whether they serve the JSON interface as well.
    limits : ConnectionLimits
        Limits for callers, in the configuration that is published.
    descriptors : int or None
        Largest number of open descriptors of each VM's process; None for the one that
        this process has.
    """

    loopback_octet: int
    vms: int = 3
    serves_api: bool = False
    limits: ConnectionLimits = field(default_factory=ConnectionLimits)
    descriptors: int | None = None
    run_directory: Path = field(init=False)
    fleet: list[Vm] = field(default_factory=list)
    entries: dict[str, ReplicaEntry] = field(default_factory=dict)
    configuration_version: int = 1
    shards: tuple[str, ...] = SHARDS
    repeatable_read: bool = True
    exit_codes: list[int] = field(default_factory=list)
    _temporary_directory: tempfile.TemporaryDirectory = field(
        default_factory=lambda: tempfile.TemporaryDirectory(prefix="anvilhoist-site-")
    )
    _standins: list[subprocess.Popen] = field(default_factory=list)
    _session: aiohttp.ClientSession | None = None
    _next_port: int = 22000

    def __post_init__(self):
        self.run_directory = Path(self._temporary_directory.name)

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return f"127.{self.loopback_octet}.0.1:21800"

    @property
    def replicas_address(self) -> str:
        """Control address of the replicas' process."""
        return f"127.{self.loopback_octet}.0.2:21801"

    async def start(self, work_s: float = 0.01, slots: int = 3) -> None:
        """Start all processes and wait until every VM is ready."""
        self._session = aiohttp.ClientSession()
        addresses = {"store": self.store_address, "replicas": self.replicas_address}
        self._standins = [
            self._spawn(name, f"anvilhoist.site.{name}", "--address", address)
            for name, address in addresses.items()
        ]
        await self._wait_until(lambda: self.send_store_command("calls"))
        await self._wait_until(lambda: self.send_replicas_command("runs"))
        for service in (*SHARDS, UNSHARDED_SERVICE, UNSHARDED_SERVICE):
            for data_centre in DATA_CENTRES[:2]:
                await self.add_replica(service, data_centre, work_s, slots)
        await self.publish_configuration()
        for n in range(self.vms):
            host = f"127.{self.loopback_octet}.1.{n + 1}"
            place = DATA_CENTRES[n % len(DATA_CENTRES)]
            vm = Vm(f"front-{n + 1}", host, place, store_address=self.store_address)
            self.fleet.append(vm)
            self.start_vm(vm)
        for vm in self.fleet:
            await self.wait_ready(vm)

    async def stop(self) -> None:
        """Stop all processes that this site started and record their exit codes."""
        processes = [vm.process for vm in self.fleet if vm.process] + self._standins
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in processes:
            try:
                self.exit_codes.append(process.wait(EXIT_TIMEOUT_S))
            except subprocess.TimeoutExpired:
                process.kill()
                self.exit_codes.append(process.wait())
        if self._session is not None:
            await self._session.close()

    def start_vm(self, vm: Vm) -> None:
        """Start a process of the tier."""
        path = self.run_directory / f"{vm.name}.toml"
        path.write_text(self._encode_settings(vm), encoding="utf-8")
        vm.process = self._spawn(vm.name, VM_MODULE, "--settings", str(path))

    def signal_vm(self, vm: Vm, signal_number: signal.Signals) -> None:
        """Send a signal to a process of the tier if it is running."""
        if vm.process is not None and vm.process.poll() is None:
            vm.process.send_signal(signal_number)

    async def wait_ready(self, vm: Vm) -> None:
        """Wait until a process of the tier reports that it is ready."""

        async def is_ready() -> bool:
            async with self._session.get(
                f"http://{vm.host}:21908{names.READINESS_PATH}"
            ) as reply:
                return reply.status == 200

        await self._wait_until(is_ready)

    async def add_replica(
        self, service: str, data_centre: str, work_s: float = 0.01, slots: int = 3
    ) -> str:
        """Start a replica and publish its entry.

        Returns
        -------
        str
            Id of its instance.
        """
        port = self._next_port
        self._next_port += 1
        instance = f"i-{service}-{port}"
        host = self.replicas_address.partition(":")[0]
        fields = {"instance": instance, "service": service, "work_s": work_s}
        await self.send_replicas_command("start", slots=slots, port=port, **fields)
        born_ms = int(read_boottime() * 1000)
        entry = ReplicaEntry(
            instance, service, f"{host}:{port}", data_centre, slots, born_ms=born_ms
        )
        self.entries[instance] = entry
        await self.put_store_item(replica_key(instance), encode_replica(entry))
        return instance

    async def set_fault(self, instance: str, fault: str) -> None:
        """Set the fault of a replica; an empty one clears any but "gone"."""
        await self.send_replicas_command("fault", instance=instance, fault=fault)

    async def drain(self, instance: str) -> None:
        """Publish a replica's entry as draining."""
        entry = replace(self.entries[instance], draining=True)
        self.entries[instance] = entry
        await self.put_store_item(replica_key(instance), encode_replica(entry))

    async def remove(self, instance: str) -> None:
        """Remove a replica's entry from the store."""
        del self.entries[instance]
        await self.send_store_command("delete", key=replica_key(instance))

    async def set_data_centre_out(self, data_centre: str, out: bool) -> None:
        """Take a data centre out of service, or bring it back."""
        key = data_centre_out_key(data_centre)
        if out:
            await self.put_store_item(key, b"{}")
        else:
            await self.send_store_command("delete", key=key)

    async def publish_configuration(
        self, shards: tuple[str, ...] | None = None
    ) -> None:
        """Publish the next version of the configuration, with new shards if given."""
        self.configuration_version += random.Random(self.configuration_version).randint(
            1, 4
        )
        self.shards = shards or self.shards
        await self.put_configuration(self.make_configuration())

    def make_configuration(self) -> Configuration:
        """Return the configuration in its current version."""
        gather = Gather(self.shards, 5, 0.7)
        common = {"host": HOST_NAME, "attempts": 2, "priority": 1}
        routes = (
            Route("search", prefix=SEARCH_PREFIX, repeatable=True, timeout_s=2.0,
                  target_s=0.3, gather=gather, **common),
            Route("read", prefix=READ_PREFIX, repeatable=self.repeatable_read,
                  timeout_s=2.0, target_s=0.4, services=((UNSHARDED_SERVICE, 1.0),),
                  **common),
            Route("book", prefix=BOOK_PREFIX, repeatable=False, timeout_s=2.0,
                  target_s=0.4, services=((UNSHARDED_SERVICE, 1.0),), **common),
        )  # fmt: skip
        service_names = (*SHARDS, *NEXT_SHARDS, UNSHARDED_SERVICE)
        services = {name: Service(name, 60) for name in service_names}
        return Configuration(self.configuration_version, routes, services, self.limits)

    async def put_configuration(self, configuration: Configuration) -> None:
        """Write a configuration to the store."""
        await self.put_store_item(
            names.CONFIGURATION_KEY, encode_configuration(configuration)
        )

    async def put_store_item(self, key: str, value: bytes) -> None:
        """Write an item to the store."""
        await self.send_store_command("put", value, key=key)

    async def send_store_command(self, command: str, body=b"", **query: str) -> bytes:
        """Send the store a control command and return the body of its response."""
        path = f"/control/{command}?{urlencode(query)}"
        return await self._post(f"http://{self.store_address}{path}", body)

    async def send_replicas_command(self, command: str, **fields: Any) -> bytes:
        """Send the replicas' process a command and return the body of its response."""
        body = json.dumps(fields).encode()
        return await self._post(f"http://{self.replicas_address}/{command}", body)

    async def read_runs(self) -> list[dict[str, Any]]:
        """Return all requests that the replicas ran."""
        return json.loads(await self.send_replicas_command("runs"))

    def read_log(self, name: str) -> str:
        """Return the log of a process so far."""
        path = self.run_directory / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def _post(self, url: str, body: bytes) -> bytes:
        async with self._session.post(url, data=body) as reply:
            if reply.status != 200:
                raise RuntimeError(f"{url}: status {reply.status}")
            return await reply.read()

    async def _wait_until(self, is_ready) -> None:
        deadline = read_boottime() + START_TIMEOUT_S
        while True:
            try:
                if await is_ready() is not False:
                    return
            except aiohttp.ClientError:
                pass
            if read_boottime() > deadline:
                raise TimeoutError(f"process not ready within {START_TIMEOUT_S} s")
            await asyncio.sleep(0.05)

    def _encode_settings(self, vm: Vm) -> str:
        seeds = [f"127.{self.loopback_octet}.1.{n + 1}:21906" for n in range(self.vms)]
        listen = {
            "callers": vm.callers_address,
            "directory": vm.directory_address,
            "peers": f"{vm.host}:21906",
            "readiness": f"{vm.host}:21908",
        }
        if self.serves_api:
            listen["searches"] = vm.api_address
        return tomli_w.dumps(
            {
                "vm": vm.name,
                "host": vm.host,
                "data_centre": vm.data_centre,
                "region": REGION,
                "seeds": seeds[:3],
                "store": vm.store_address,
                "peers_port": 21980,
                "metrics_port": 21981,
                "listen": listen,
                "data_centres": dict.fromkeys(DATA_CENTRES, REGION),
                "bounds": {"stop_s": VM_STOP_S},
            }
        )

    def _spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        descriptors = self.descriptors if module == VM_MODULE else None
        log_path = self.run_directory / f"{name}.log"
        return spawn_module(module, arguments, log_path, descriptors)
