"""Routing of a request's calls by its customer's rules, along the hops of a route path. Performs no I/O.

`route` turns a decision of the rules into a path, `route_table` sends calls along it, `route_balancers` has a load
balancer for each route, `route_limits` limits calls in flight, and `grants` assigns servers to customers.
"""
