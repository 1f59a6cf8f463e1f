"""Worlds whose placer has settled, and what it did."""

from rooklug.wire.generated.control.ttypes import (
    ReplicaObservation,
)
from tests.controller_world import World, document, fleet


def settled_world(**more):
    """Return a world whose fleet has loaded its first plan."""
    world = World(fleet(), document(), **more)
    world.renew_leases()
    world.run(20.0)
    return world


def seen_failing(replica_ids, successes=0, failures=9):
    """Return a front's observations of these replicas."""
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
