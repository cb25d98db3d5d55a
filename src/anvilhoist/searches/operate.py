"""The operators' command. It reads, and writes nothing anywhere."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from ..errors import Failure, Kind, SettingsError, UsageError
from ..front.settings import read_front_settings
from ..oncall.rounds import draw_rounds, format_rounds, read_rounds
from ..oncall.story import find_story, format_story, read_lines
from ..process import run_binary
from .decisions import Decision
from .documents import MODELS, parse_document
from .operations import FleetMember, ProcessState

READ_TIMEOUT_S = 2.0
NOT_ALL_READ_EXIT_CODE = 4

_MEMBERS = TypeAdapter(tuple[FleetMember, ...])
_STATE = TypeAdapter(ProcessState)
_DECISIONS = TypeAdapter(tuple[Decision, ...])


@dataclass(frozen=True, slots=True)
class Source:
    """A process that is read.

    Attributes
    ----------
    name : str
        VM and binary, for display.
    """

    name: str
    address: str


async def read_path(
    session: aiohttp.ClientSession, address: str, path: str, model: TypeAdapter
) -> Result[Any, Failure]:
    """Read one of the operators' paths of a process."""
    try:
        async with session.get(f"http://{address}{path}") as reply:
            return Ok(model.validate_json(await reply.read()))
    except (aiohttp.ClientError, TimeoutError, ValidationError) as error:
        detail = f"{address}: {type(error).__name__}"
        return Error(Failure(Kind.PEER_LOST, detail))


async def list_sources(
    session: aiohttp.ClientSession, via: str
) -> Result[tuple[Source, ...], Failure]:
    """List all processes of the fleet, as one of them knows it."""
    members = await read_path(session, via, "/ops/fleet", _MEMBERS)
    if members.is_error():
        return members
    sources = []
    for member in members.ok:
        sources.append(Source(f"{member.vm} entry", member.entry))
        sources.append(Source(f"{member.vm} dispatch", member.dispatch))
    return Ok(tuple(sources))


def format_state(name: str, state: ProcessState) -> list[str]:
    """Describe one process in lines of text."""
    ready = "ready" if state.ready else "NOT READY"
    lines = [f"{name}: {ready}, platform confirmed {state.platform_age_s:.1f} s ago"]
    for document in state.documents:
        line = f"  {document.key}@{document.revision}, {document.age_s:.0f} s old"
        if document.refused_revision:
            problems = "; ".join(document.problems)
            line += f"; refused @{document.refused_revision}: {problems}"
        lines.append(line)
    cold = [item.name for item in state.replicas if not item.warm]
    waiting = [item.name for item in state.replicas if not item.held]
    if state.replicas:
        lines.append(
            f"  {len(state.replicas)} replicas, {len(cold)} cold, "
            f"{len(waiting)} waited for"
        )
    return lines


def check(path: str, key: str = "config"):
    """Check a document offline, before it is published.

    Parameters
    ----------
    path : str
        File with the document.
    key : str
        Which document it is: config, vms or directory.
    """
    if key not in MODELS:
        raise UsageError(f"--key: found {key!r}; allowed: {', '.join(MODELS)}")

    async def run() -> int:
        try:
            text = Path(str(path)).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(str(path), (f"cannot be read: {error}",)) from None
        try:
            parse_document(key, text)
        except SettingsError as error:
            raise SettingsError(str(path), error.problems) from None
        print(f"{path}: valid")
        return 0

    return run


def status(via: str):
    """List what is in force on each VM, with revisions and ages.

    Parameters
    ----------
    via : str
        Address of any entry or dispatch process.
    """

    async def run() -> int:
        return await _for_each_source(via, "/ops/state", _STATE, _print_state)

    return run


def explain(request_id: str, via: str):
    """Explain one request from the decisions that were taken for it.

    Parameters
    ----------
    request_id : str
        Id of the request.
    via : str
        Address of any entry or dispatch process.
    """
    found: list[Decision] = []

    def keep(_name: str, decisions: tuple[Decision, ...]) -> None:
        found.extend(decisions)

    async def run() -> int:
        path = f"/ops/decisions?request_id={request_id}"
        code = await _for_each_source(via, path, _DECISIONS, keep)
        found.sort(key=lambda decision: decision.at_s)
        for item in found:
            print(f"{item.at_s:.4f} {item.event}: {item.subject} ({item.reason})")
        if not found:
            print(f"{request_id}: no decision is kept")
        return code

    return run


def _print_state(name: str, state: ProcessState) -> None:
    print("\n".join(format_state(name, state)))


async def _for_each_source(via: str, path: str, model: TypeAdapter, take) -> int:
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        sources = await list_sources(session, str(via))
        if sources.is_error():
            print(f"{sources.error.kind.value}: {sources.error.detail}")
            return NOT_ALL_READ_EXIT_CODE
        reads = [
            read_path(session, source.address, path, model) for source in sources.ok
        ]
        results = await asyncio.gather(*reads)
    code = 0
    for source, result in zip(sources.ok, results, strict=True):
        if result.is_ok():
            take(source.name, result.ok)
            continue
        print(f"{source.name}: not read, {result.error.detail}")
        code = NOT_ALL_READ_EXIT_CODE
    return code


def story(request: str, *logs: str):
    """Tell what became of one request of the front, from its processes' logs.

    Parameters
    ----------
    request : str
        Id of the request.
    logs : str
        Log files.
    """

    async def run() -> int:
        found = find_story(read_lines(logs), str(request))
        print("\n".join(format_story(found)))
        return 0 if found.lines else NOT_ALL_READ_EXIT_CODE

    return run


def check_settings(path: str):
    """Check a settings file of the front.

    Parameters
    ----------
    path : str
        The file.
    """

    async def run() -> int:
        found = read_front_settings(path)
        print(f"{path}: valid, for {found.vm}")
        return 0

    return run


def rounds(journal: str = "journal", picture: str = "reports/rounds.png"):
    """List and draw the scored rounds of a journal.

    Parameters
    ----------
    journal : str
        Folder of the entries.
    picture : str
        Where the picture goes.
    """

    async def run() -> int:
        found = read_rounds(journal)
        Path(picture).parent.mkdir(parents=True, exist_ok=True)
        draw_rounds(found, picture)
        print("\n".join(format_rounds(found)))
        print(f"drawn to {picture}")
        return 0

    return run


def main() -> None:
    """Run the binary."""
    commands = {
        "check": check,
        "check_settings": check_settings,
        "explain": explain,
        "rounds": rounds,
        "status": status,
        "story": story,
    }
    run_binary("anvilhoist", commands)


if __name__ == "__main__":
    main()
