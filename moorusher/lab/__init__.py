"""The laboratory: `pip install moorusher[lab]`. Never imported by what serves.

What a runner speaks with: `stand_ins` (kernel, database, uwsgi peer, announce service) on emulated `cores`;
`fenced_receiver`, `relays` between runners, `balancer` and `health_prober`.

Runners and their load: `runners`, `runner_fleet`, `admin_client`; `arrivals`, `load_generator`, `runner_client`.

Experiments, by their names on the command line: `registry` lists them, `experiment` and `report` are what they share.
`health_report_experiment` (`shed` on the command line), `outage` and `takeover` play arms of real processes (`*_arm`);
`tier` and `warm_start` are simulations of a server pool, `forecast` of drawn demand; `duties` and `namespaces` have
both. `demo_runner` and `demo_fleet` are `moorusher lab up`.
"""
