"""State that all requests share, and how a call is sent to a replica."""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import structlog

from ..errors import ErrorKind
from ..http.client_budget import ClientBudget
from ..http.messages import Headers
from ..http.replies import Outcome, Reply, ServerRequest
from ..metrics import Metrics
from ..platform.edge import (
    classify_reply,
    encode_replica_request_head,
    is_leaving,
    make_origin_reader,
    parse_quiet_time,
    parse_rate_limit,
    parse_server_load,
)
from ..upstreams.budget import RetryBudget
from ..upstreams.choice import choose_probe_target, choose_replica
from ..upstreams.health import EXTRA_PROBE_INTERVAL_S
from ..upstreams.latency import RouteLatencies
from ..upstreams.registry import ReplicaRegistry
from ..upstreams.replica import Exchange, Replica
from ..upstreams.suspects import SuspectList, Suspicion, format_key
from ..world.model import Route
from ..world.view import View
from .call import NOT_EXECUTED_VERDICTS, Call, Verdict


@dataclass(slots=True)
class Context:
    """State that all requests share.

    Attributes
    ----------
    now : callable
        Clock, in seconds.
    data_centre : str
        Data centre of this VM.
    view, replicas, budget, latencies, metrics : object
        The published view, the replicas in use, the retry budget, the latency
        estimates by route, and the metrics.
    region_by_data_centre : dict of str
        Region of each data centre.
    random : Random
        Splits traffic between services and breaks ties between replicas.
    serves_until : float
        When the process stops to serve, in seconds; infinite until its shutdown.
    client_budget : ClientBudget
        Counts what replicas send for clients.
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
    serves_until: float = math.inf
    client_budget: ClientBudget = field(default_factory=ClientBudget)
    suspects: SuspectList = field(init=False)

    def __post_init__(self):
        self.suspects = SuspectList(self.now)

    def judge(self, call: Call) -> Suspicion:
        """Return what may be done with a call, by the replicas that ended under it."""
        if not self.suspects.records:
            return Suspicion.NONE
        return self.suspects.judge(call.key)

    def choose_replica(
        self, route: Route, service: str, tried: list[str]
    ) -> Replica | None:
        """Choose a replica of a service, or None if none may get the request.

        An unresponsive replica that is due for a probe is chosen only where no other
        replica is usable.

        Parameters
        ----------
        route : Route
            Route of the request; only replicas in its regions are chosen.
        service : str
            Service that the request goes to.
        tried : list of str
            Instances that must not be chosen again.
        """
        if self.has_limited_replica(route, service):
            self.metrics.increment("limited_passed_over", service)
        candidates = self._list_candidates(route, service)
        now = self.now()
        chosen = choose_replica(
            candidates, self.data_centre, now, self.random, tried, route.repeatable
        )
        return chosen or choose_probe_target(candidates, now, tried)

    def try_spend_retry(self, service: str) -> bool:
        """Spend one extra arrival of the retry budget; return False if none is left."""
        if self.budget.try_spend(service, self.now()):
            return True
        self.metrics.increment("extra_arrivals_refused", service)
        return False

    def has_limited_replica(self, route: Route, service: str) -> bool:
        """Return whether a replica is passed over because its rate limit is spent."""
        if service not in self.replicas.limited_services:
            return False
        now = self.now()
        candidates = self._list_candidates(route, service)
        return any(not replica.quota.admits(now) for replica in candidates)

    def send(
        self,
        replica: Replica,
        call: Call,
        headers: Headers,
        end_at: float,
        typical_s: float,
        on_outcome: Callable[[Exchange, Outcome, Verdict], None],
        new_connection: bool = False,
    ) -> Exchange:
        """Send a call to a replica.

        Parameters
        ----------
        replica : Replica
            Replica that the call is sent to.
        call : Call
            The caller's request.
        headers : list of tuple of bytes
            Headers that are the same for every replica.
        end_at, typical_s : float
            When the call ends, and the typical duration of such a request, in seconds.
        on_outcome : callable
            Called once with the outcome and the verdict on it, unless the exchange is
            cancelled first.
        new_connection : bool
            Always use a new connection: no response to an earlier request can arrive
            there, and no idle timeout of the replica can close it.
        """
        now = self.now()
        instance = replica.entry.instance
        head = encode_replica_request_head(call, headers, instance, end_at - now)

        def finish(exchange: Exchange, outcome: Outcome) -> None:
            verdict = Verdict.UNUSABLE
            if isinstance(outcome, Reply):
                call.request.hold(len(outcome.body))
                verdict = classify_reply(outcome, call)
                self._try_record_reply(replica, call, exchange, outcome, verdict)
            elif outcome.kind is ErrorKind.CONNECTION_LOST:
                self._check_end(replica, call, exchange)
            on_outcome(exchange, outcome, verdict)

        request = ServerRequest(
            head, make_origin_reader(call), call.request.body, self.client_budget
        )
        return replica.send(request, typical_s, new_connection, finish)

    def choose_extra_probe(
        self, route: Route, service: str, tried: list[str]
    ) -> Replica | None:
        """Choose an unresponsive replica to send a request to besides another one.

        Without such probes, a replica that has recovered would stay unused until no
        other one of its service is usable.
        """
        return choose_probe_target(
            self._list_candidates(route, service),
            self.now(),
            tried,
            EXTRA_PROBE_INTERVAL_S,
        )

    def _list_candidates(self, route: Route, service: str) -> list[Replica]:
        candidates = self.replicas.list_for_service(service, self.view.data_centres_out)
        if not route.regions:
            return candidates
        return [
            replica
            for replica in candidates
            if self._is_in_region(replica, route.regions)
        ]

    def _is_in_region(self, replica: Replica, regions: tuple[str, ...]) -> bool:
        return self.region_by_data_centre.get(replica.entry.data_centre) in regions

    def _note_survival(self, call: Call) -> None:
        if call.progress.survived:
            return
        call.progress.survived = True
        self.suspects.record_answer(call.local_key)
        if self.suspects.records:
            self.suspects.clear(call.key)

    def _check_end(self, replica: Replica, call: Call, exchange: Exchange) -> None:
        """Suspect a call if the replica has ended under it and no other answers."""
        lost_at = self.now()

        def suspect() -> None:
            structlog.get_logger().warning(
                "replica_ended",
                replica=replica.entry.instance,
                service=replica.entry.service,
                request=call.attempt_id_text,
                key=format_key(call.key),
                target=call.request.target.decode("latin-1")[:80],
                open_ms=round((lost_at - exchange.sent_at) * 1000, 1),
                survived=call.progress.survived,
            )
            if not call.progress.survived:
                self.suspects.record_end(
                    call.key, call.local_key, exchange.sent_at, lost_at
                )

        replica.check_end(suspect)

    def _try_record_reply(
        self,
        replica: Replica,
        call: Call,
        exchange: Exchange,
        reply: Reply,
        verdict: Verdict,
    ) -> None:
        """Note what a reply says, or log why it can't be; its caller must get it."""
        try:
            self._record_reply(replica, exchange, reply, verdict)
            if verdict not in NOT_EXECUTED_VERDICTS:
                self._note_survival(call)
        except Exception:
            structlog.get_logger().error(
                "reply_not_noted",
                replica=replica.entry.instance,
                request=call.attempt_id_text,
                trace=traceback.format_exc(),
            )

    def _record_reply(
        self, replica: Replica, exchange: Exchange, reply: Reply, verdict: Verdict
    ) -> None:
        instance = replica.entry.instance
        load = parse_server_load(reply.headers)
        if load is not None:
            replica.health.record_load(load, self.now())
        if verdict is Verdict.MISDIRECTED:
            replica.retire()
            structlog.get_logger().info(
                "replica_gone", replica=instance, why="another instance has its address"
            )
        else:
            self._record_limit(replica, exchange, reply, verdict)
            self._record_wishes(replica, reply)
        if verdict in NOT_EXECUTED_VERDICTS:
            self.metrics.increment("replica_rejected")

    def _record_wishes(self, replica: Replica, reply: Reply) -> None:
        """Note that a replica leaves, or wants no requests for a while."""
        if is_leaving(reply.headers) and not replica.wishes.leaving:
            replica.wishes.leaving = True
            replica.close_idle_connections()
            self.metrics.increment("replica_leaving")
            structlog.get_logger().info(
                "replica_leaving",
                replica=replica.entry.instance,
                service=replica.entry.service,
            )
        quiet_s = parse_quiet_time(reply)
        if quiet_s <= 0.0:
            return
        wishes = replica.wishes
        was_quiet = self.now() < wishes.quiet_until
        wishes.quiet_until = max(wishes.quiet_until, self.now() + quiet_s)
        self.metrics.increment("replica_quiet")
        if not was_quiet:
            structlog.get_logger().info(
                "replica_quiet",
                replica=replica.entry.instance,
                service=replica.entry.service,
                quiet_s=round(quiet_s, 2),
            )

    def _record_limit(
        self, replica: Replica, exchange: Exchange, reply: Reply, verdict: Verdict
    ) -> None:
        limit = parse_rate_limit(reply.headers)
        if limit is None:
            self.metrics.increment("replica_limit_invalid")
            return
        # Only a response of the service itself withdraws a limit by naming none.
        if limit == math.inf and verdict not in (Verdict.SUCCEEDED, Verdict.FAILED):
            return
        replica.quota.record_answer(limit, exchange.sent_at, self.now())
        self.replicas.note_limit_change(replica, "response")
