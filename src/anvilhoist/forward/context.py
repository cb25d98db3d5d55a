"""What requests share: the view, replicas, budget and usual durations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import structlog

from ..http.exchange import Outcome, Reply
from ..http.messages import Headers
from ..metrics import Metrics
from ..platform.edge import (
    classify_reply,
    encode_replica_request,
    make_response_matcher,
    parse_server_load,
)
from ..upstreams.budget import RetryBudget
from ..upstreams.choice import choose_probe_target, choose_replica
from ..upstreams.latency import RouteLatencies
from ..upstreams.registry import ReplicaRegistry
from ..upstreams.replica import Exchange, Replica
from ..world.model import Route
from ..world.view import View
from .call import NEVER_RAN, Call, Verdict


@dataclass(slots=True)
class Context:
    """What every request rests on.

    Attributes
    ----------
    now : callable
        Clock, in seconds.
    data_centre : str
        Data centre of this VM.
    view, replicas, budget, latencies, metrics : object
        What is published, the replicas in use, and what was counted.
    region_by_data_centre : dict of str
        Region of each data centre.
    random : Random
        Splits traffic and breaks ties.
    """

    now: Callable[[], float]
    data_centre: str
    view: View
    replicas: ReplicaRegistry
    budget: RetryBudget
    latencies: RouteLatencies
    metrics: Metrics
    region_by_data_centre: dict[str, str] = field(default_factory=dict)
    random: Random = field(default_factory=Random)

    def choose(self, route: Route, service: str, tried: list[str]) -> Replica | None:
        """Choose a replica of a service that can be expected to answer.

        Parameters
        ----------
        route : Route
            Route of the request; only replicas in its regions are chosen.
        service : str
            Service that the request goes to.
        tried : list of str
            Instances that are not to be chosen again.
        """
        listed = self.replicas.list_for_service(service, self.view.data_centres_out)
        if route.regions:
            listed = [each for each in listed if self._stands_in(each, route.regions)]
        now = self.now()
        chosen = choose_replica(listed, self.data_centre, now, self.random, tried)
        return chosen or choose_probe_target(listed, now, tried)

    def send(
        self,
        replica: Replica,
        call: Call,
        headers: Headers,
        end_at: float,
        usual_s: float,
        on_done: Callable[[Exchange, Outcome, Verdict], None],
        fresh: bool = False,
    ) -> Exchange:
        """Send a call to a replica.

        Parameters
        ----------
        replica : Replica
            Where to.
        call : Call
            The caller's request.
        headers : list of tuple of bytes
            Headers that every replica gets alike.
        end_at, usual_s : float
            When the call ends, and the usual duration of such a request, in seconds.
        on_done : callable
            Told of the outcome and what it means.
        fresh : bool
            Use a new connection: nothing older can arrive there, and no idle limit
            can cut it.
        """
        now = self.now()
        instance = replica.entry.instance
        data = encode_replica_request(call, headers, instance, end_at - now)

        def finish(exchange: Exchange, outcome: Outcome) -> None:
            verdict = Verdict.UNUSABLE
            if isinstance(outcome, Reply):
                verdict = classify_reply(outcome, call)
                self._learn(replica, outcome, verdict)
            on_done(exchange, outcome, verdict)

        matches = make_response_matcher(call)
        return replica.send(data, matches, usual_s, fresh, finish)

    def _stands_in(self, replica: Replica, regions: tuple[str, ...]) -> bool:
        return self.region_by_data_centre.get(replica.entry.data_centre) in regions

    def _learn(self, replica: Replica, reply: Reply, verdict: Verdict) -> None:
        instance = replica.entry.instance
        load = parse_server_load(reply.headers)
        if load is not None:
            replica.health.record_load(load, self.now())
        if verdict is Verdict.MISDIRECTED:
            replica.retire()
            structlog.get_logger().info(
                "replica_gone", replica=instance, why="another has its address"
            )
        if verdict in NEVER_RAN:
            self.metrics.increment("replica_rejected")
