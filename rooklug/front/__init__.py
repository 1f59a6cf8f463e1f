"""Model requests on rooklug's own deployments: ``POST /v1/generate``, directory, readiness.

On the users' platform ``rooklug.gateway`` has this job; of this package only ``health.py`` and
``outcomes.py`` run there. Two packages have it because the gateway passes answers through, and
this one checks each line of a stream and has a queue and once-only requests (``once_only``).

Owns, in memory, the routing view (``view_component.py``), the states of replicas
(``replica_states.py``), slow starts (``slow_start_tracker.py``), prefix affinity
(``affinity.py``) and the queue (``wait_queue.py``).

Begin with ``executor.py``, then ``decision.py`` and ``balancer.py`` (docs/requests.md).

May import ``distribution``, ``routing``, ``config``, ``runtime``, ``model``, ``engine``, ``wire``.
"""
