"""Helpers for the placer's tests: a world with a loaded fleet, and queries of what happened."""

from rooklug.wire.generated.control.ttypes import (
    ReplicaObservation,
)
from tests.controller_world import World, document, fleet


def settled_world(**options):
    """Return a world after 20 s, in which the fleet has loaded its first plan."""
    world = World(fleet(), document(), **options)
    world.renew_leases()
    world.run(20.0)
    return world


def failure_observations(replica_ids, successes=0, failures=9):
    """Return a front's observations of these replicas, by default with failures only."""
    return [
        ReplicaObservation(
            replica_id=replica_id,
            incarnation="a",
            successes=successes,
            failures=failures,
            connect_failures=0,
            median_first_token_s=0.0,
        )
        for replica_id in replica_ids
    ]


def served_models(world):
    return {model for _, model in world.serving()}


def calls_after(world, since):
    return [call for at, call in world.http if at > since]
