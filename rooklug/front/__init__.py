"""Serves model requests on rooklug's own deployments: generate, directory and readiness.

The package owns these in-memory states of one front process: the routing view
(``view_component.py``), load, limits and health of each replica (``replica_states.py``), slow
starts (``slow_start_tracker.py``), prefix affinity (``affinity.py``) and the wait queue
(``wait_queue.py``). Once-only requests are in the subpackage ``once_only``.

``build.py`` composes the components. To follow a request, read ``executor.py``, then
``decision.py`` and ``balancer.py`` (docs/requests.md).

On the users' platform ``rooklug.gateway`` serves model requests instead and uses only
``health.py`` and ``outcomes.py`` of this package. The two are separate because the gateway passes
answers through unread, while a front checks each line of a stream, queues requests and serves
once-only requests.

May import ``distribution``, ``routing``, ``config``, ``runtime``, ``model``, ``engine``, ``wire``.
"""
