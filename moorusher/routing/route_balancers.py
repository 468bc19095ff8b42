"""A load balancer for each route of each customer, and a default one for requests to which no rules apply.

Each has its own estimates, ejections and retry budget, so that one customer's calls do not affect other customers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import replace
from itertools import count

from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from .grants import Grants
from .route import Hop, RouteKey, RoutePath

# When this many routes have a balancer, the least recently used balancers without open calls are discarded.
MAX_BALANCERS = 2_000


class RouteBalancers:
    """The load balancers of the tier's servers.

    Attributes:
        servers: Listed servers by name; a removed server is no longer listed, but may still be draining.
        grants: Current grants of servers to customers.
        default: Load balancer of requests to which no rules apply; has the servers that are granted to no customer.
    """

    def __init__(
        self,
        servers: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        now: int,
        grants: Grants,
    ) -> None:
        """Create the default load balancer.

        :param runner: Name of this runner.
        :param draw: Returns a random number in [0, 1).
        :param now: In microseconds.
        """
        self._policy = policy
        self._runner = runner
        self._draw = draw
        self._attempt_ids = count(1)  # shared by all balancers, so that attempt ids are unique
        self.servers = {server.name: server for server in servers}
        self.grants = grants
        reserved = grants.reserved_servers()
        self.default = self._make([s for s in self.servers.values() if s.name not in reserved], now)
        # Least recently used first.
        self._by_route: OrderedDict[RouteKey, LoadBalancer] = OrderedDict()
        # Servers that an operator drains, until they are put again.
        self._drained: set[str] = set()
        # Hop and version of the servers from which each balancer's endpoints were last updated.
        self._updated_for: dict[RouteKey, tuple[Hop, int]] = {}
        self._version = 0  # of `servers`, `grants` and `_drained`

    def _make(self, servers: list[EndpointConfig], now: int) -> LoadBalancer:
        return LoadBalancer(servers, self._policy, self._runner, self._draw, now, self._attempt_ids)

    def all(self) -> list[LoadBalancer]:
        """Return all load balancers."""
        return [self.default, *self._by_route.values()]

    def get(self, key: RouteKey) -> LoadBalancer | None:
        """Return the load balancer of a route; None if the route was not used recently."""
        return self._by_route.get(key)

    def for_hop(self, now: int, path: RoutePath, hop: Hop) -> LoadBalancer | None:
        """Return the load balancer of a hop; None if none of its servers is listed, granted and not drained."""
        servers = self._granted_servers(path.customer, hop)
        if not servers:
            return None
        key = path.key_of(hop)
        balancer = self._by_route.get(key)
        if balancer is None:
            self._discard_unused()
            balancer = self._by_route[key] = self._make(servers, now)
        else:
            self._by_route.move_to_end(key)
            if self._updated_for.get(key) != (hop, self._version):
                self._update(now, balancer, servers)
        self._updated_for[key] = hop, self._version
        return balancer

    def update_routes(self, now: int) -> list[LoadBalancer]:
        """Update the endpoints of all routes, whose calls may wait for servers that they may no longer use.

        :returns: The load balancers of all routes.
        """
        for key, balancer in self._by_route.items():
            hop, version = self._updated_for[key]
            if version != self._version:
                self._update(now, balancer, self._granted_servers(key.customer, hop))
                self._updated_for[key] = hop, self._version
        return list(self._by_route.values())

    def _granted_servers(self, customer: str, hop: Hop) -> list[EndpointConfig]:
        if hop.pool:
            if not self.grants.pool_quota(customer, hop.pool):
                return []
            weights = dict.fromkeys(self.grants.pools[hop.pool].servers, 1)
        else:
            dedicated = self.grants.dedicated.get(customer, frozenset())
            weights = {name: weight for name, weight in hop.servers if weight and name in dedicated}
        return [
            replace(self.servers[name], weight=self.servers[name].weight * weight)
            for name, weight in weights.items()
            if name in self.servers and name not in self._drained
        ]

    @staticmethod
    def _update(now: int, balancer: LoadBalancer, servers: list[EndpointConfig]) -> None:
        endpoints = balancer.endpoints
        wanted = {server.name for server in servers}
        for name in [name for name in endpoints.by_name if name not in wanted]:
            endpoints.retire(name)
        for server in servers:
            known = endpoints.by_name.get(server.name)
            if known is None or known.config != server:
                endpoints.add(now, server, established=known is not None)

    def _discard_unused(self) -> None:
        """Discard up to a tenth of the balancers, the least recently used ones, if there are too many."""
        if len(self._by_route) < MAX_BALANCERS:
            return
        unused = [key for key, balancer in self._by_route.items() if not balancer.open_calls]
        for key in unused[: MAX_BALANCERS // 10]:
            del self._by_route[key]
            del self._updated_for[key]

    # ---- membership ----

    def put(self, now: int, server: EndpointConfig) -> None:
        """Add a server, or replace the server with that name. A server that was drained is used again.

        :raises TooManyEndpointsError: The default load balancer already has the maximum number of endpoints.
        """
        self.servers[server.name] = server
        self._drained.discard(server.name)
        if server.name not in self.grants.reserved_servers():
            self.default.endpoints.add(now, server)
        self._version += 1  # routes update their endpoints at their next calls

    def drain(self, name: str) -> bool:
        """Send no new calls to a server until it is put again. Return False if there is no server of that name."""
        is_listed = name in self.servers
        if is_listed:
            self._drained.add(name)
            self._version += 1
        drained = [balancer.endpoints.drain(name) for balancer in self.all()]
        return is_listed or any(drained)

    def retire(self, name: str) -> None:
        """Drain a server that is no longer listed, and remove it when its last call has ended."""
        self.unlist(name)
        for balancer in self.all():
            balancer.endpoints.retire(name)

    def unlist(self, name: str) -> None:
        """Remove a server from the list; the caller has to remove it from each load balancer."""
        self.servers.pop(name, None)
        self._drained.discard(name)
        self._version += 1

    def set_grants(self, now: int, grants: Grants) -> None:
        """Apply new grants: the default load balancer retires servers that are granted now, and adds those released."""
        self.grants = grants
        reserved = grants.reserved_servers()
        for name, server in self.servers.items():
            if name in reserved:
                self.default.endpoints.retire(name)
            elif name not in self.default.endpoints.by_name:
                self.default.endpoints.add(now, server)
                if name in self._drained:
                    self.default.endpoints.drain(name)
        self._version += 1

    def find_server(self, name: str) -> EndpointConfig | None:
        """Return a server by name, including one that is no longer listed but still draining; None if unknown."""
        if (listed := self.servers.get(name)) is not None:
            return listed
        for balancer in self.all():
            if (endpoint := balancer.endpoints.by_name.get(name)) is not None:
                return endpoint.config
        return None
