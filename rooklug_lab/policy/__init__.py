"""Simulates deployments in virtual time to evaluate routing policies.

Owns the simulated clients, fronts, replicas and control plane, the scoring of runs, and the
``rooklug-lab policy`` command (``command.add_policy_command``). Routing, planning and the control
plane's view are the real ones of ``rooklug``. May import ``rooklug``, ``rooklug_lab.sim`` and
``rooklug_lab.gateway``.
"""
