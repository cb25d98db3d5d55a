"""A search: pin a snapshot, query it, and again at another if it is gone."""

from __future__ import annotations

from expression import Error, Ok, Result

from ..errors import Failure, Kind
from .documents import Directory, Profile, Snapshot
from .merge import Merger, SearchAnswer
from .query import Query
from .routing import Routing


def pin_snapshot(
    directory: Directory, index: str, tried: set[int]
) -> Result[Snapshot, Failure]:
    """Newest snapshot of an index that was not tried yet."""
    snapshots = [
        snapshot
        for snapshot in directory.indexes.get(index, ())
        if snapshot.version not in tried
    ]
    if not snapshots:
        return Error(Failure(Kind.NO_SNAPSHOT, f"{index} has no snapshot to search"))
    return Ok(max(snapshots, key=lambda snapshot: snapshot.version))


async def run_search(
    routing: Routing,
    request_id: str,
    profile_name: str,
    profile: Profile,
    text: str,
    deadline: float,
) -> Result[SearchAnswer, Failure]:
    """Run a search, anew at another snapshot where the pinned one is gone.

    Parameters
    ----------
    deadline : float
        Clock reading at which the answer has to be there, in seconds.
    """
    tried: set[int] = set()
    best: Merger | None = None
    state = routing.profile_state(profile_name, profile)
    while routing.now() < deadline:
        pinned = pin_snapshot(routing.view.directory, profile.target, tried)
        if pinned.is_error():
            if best is None:
                return pinned
            break
        snapshot = pinned.ok
        tried.add(snapshot.version)
        routing.log.decide(
            "pin", f"{profile.target}@{snapshot.version}", "newest left", request_id
        )
        query = Query(
            routing, request_id, profile_name, profile, state, text, snapshot, deadline
        )
        merger = await query.run()
        if best is None or merger.covered_share > best.covered_share:
            best = merger
        if not query.found_gone:
            break
    if best is None:
        return Error(Failure(Kind.QUEUE_EXPIRED, "no time left to ask any shard"))
    return Ok(best.finish(request_id))
