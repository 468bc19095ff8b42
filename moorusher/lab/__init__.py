"""The laboratory: experiments and demos, installed by `pip install moorusher[lab]`. The server never imports it.

Peers of a runner: `stand_ins` (kernel, database, uwsgi peer, announce service); `cores`, which emulates a kernel's
machine; `fenced_receiver`, `relays` between runners, `balancer` and `health_prober`.

Runners and their load: `runners`, `runner_fleet`, `admin_client`; `arrivals`, `load_generator`, `runner_client`.

Experiments: `registry` lists them by their names on the command line; `experiment` and `report` contain their common
code. An experiment compares variants, its arms. `health_report_experiment` (`shed` on the command line), `outage` and
`takeover` run their arms with real runner processes (`*_arm`); `tier` and `warm_start` simulate a server pool;
`forecast` uses generated demand; `duties` and `namespaces` use both processes and simulations. `demo_runner` and
`demo_fleet` implement `moorusher lab up`.
"""
