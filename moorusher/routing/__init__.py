"""Where a request's calls go by its customer's rules: the hops of a route path, each balanced by itself. Pure.

`route` turns the rules' decision into a path, `route_table` takes calls along it, `route_balancers` keeps a load
balancer for each route, `route_limits` bounds calls in flight, and `grants` says which servers are whose.
"""
