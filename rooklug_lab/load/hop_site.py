"""The smallest site that serves: three cores, a controller, one front and one fast replica."""

import json

import attrs

from rooklug_lab.deployment import Deployment, build_deployment, listed_replica, model_profiles

TOKENS_PER_S = 1e6
CONCURRENCY = 5000
LOAD_S = 0.1
LOAD_DEADLINE_S = 20.0
"""On a busy machine the placer sees a load late; it would give it up, and not try again soon."""


@attrs.frozen
class HopSite:
    """A deployment for measuring one hop, and the request that it serves."""

    deployment: Deployment
    route: str
    model: str


def build_hop_site(subnet: int, tokens_per_s: float = TOKENS_PER_S) -> HopSite:
    """Return a site whose replica is, by default, so fast that the front is what is measured."""
    full = build_deployment("payroll", subnet)
    route = "deduction-question"
    document = json.loads(full.document)
    for model in document["models"].values():
        for need in model["resources"].values():
            need.update(tokens_per_s=tokens_per_s, concurrency=CONCURRENCY, load_s=LOAD_S)
    document["limits"] = {"queue_length": CONCURRENCY}
    document["slow_start"] = {"first_share": 1.0, "duration_s": 0.1}
    factor = {"load_timeout_factor": LOAD_DEADLINE_S / LOAD_S}
    document["placement"] = document.get("placement", {}) | factor
    data = json.dumps(document).encode()
    profiles = model_profiles(data)
    replica = attrs.evolve(full.replicas[0], models=profiles, cold_factor=1.0)
    fronts = full.fronts[:1]
    platform = attrs.evolve(
        full.platform,
        replicas=(listed_replica(replica),),
        front_addresses=(fronts[0].http_address,),
    )
    deployment = attrs.evolve(
        full,
        document=data,
        fronts=fronts,
        controllers=full.controllers[:1],
        replicas=(replica,),
        backends=(),
        platform=platform,
    )
    return HopSite(deployment, route, document["routes"][route]["model"])
