"""Find the route of a request, and choose one of the route's services."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from ..world.model import Configuration, Route


@dataclass(slots=True)
class RouteTable:
    """Routes of one configuration by host, those with the longest prefix first."""

    configuration: Configuration
    _routes_by_host: dict[str, list[Route]] = field(init=False)

    def __post_init__(self):
        self._routes_by_host = defaultdict(list)
        for route in self.configuration.routes:
            self._routes_by_host[route.host.lower()].append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, random: Random) -> str | None:
    """Choose a service of a route in proportion to the weights.

    A service that is short of replicas keeps its share: no traffic moves to another
    service. The result is None if the weights add up to 0.
    """
    total = sum(weight for _, weight in route.services)
    if total <= 0:
        return None
    point = random.random() * total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]
