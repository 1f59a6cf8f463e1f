"""Simulated gateway deployments: fault scenarios, stand-ins for the outside, and oracles.

The entry point is ``scenarios.run_gateway_scenario``; ``command`` makes it the subcommand
``rooklug-lab gateway``. The package imports rooklug and ``rooklug_lab.sim``.
"""
