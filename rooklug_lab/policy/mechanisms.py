"""Mechanisms of the routing policy, and the settings that disable each for ablation."""

import attrs

from rooklug_lab.policy.settings import Setting, read_setting


@attrs.frozen
class Mechanism:
    """One mechanism: a description, and the constants (``MODULE.NAME=VALUE``) that disable it."""

    name: str
    text: str
    off: tuple[str, ...]

    @property
    def settings(self) -> tuple[Setting, ...]:
        """The parsed settings that disable the mechanism."""
        return tuple(read_setting(text) for text in self.off)


_ALL = (
    Mechanism(
        "few-fronts",
        "an eighth of a region's fronts serves, not all",
        ("serving_fronts.SERVING_SHARE=1.0",),
    ),
    Mechanism(
        "peer-exchange",
        "fronts of a region tell each other what is under way",
        ("peer_exchange.MAX_DIRECT_PEERS=0", "peer_exchange.MAX_PEERS_WITHOUT_COLLECTOR=1000"),
    ),
    Mechanism(
        "load-collector",
        "more than two fronts tell a collector, not each other",
        ("peer_exchange.MAX_PEERS_WITHOUT_COLLECTOR=1000",),
    ),
    Mechanism(
        "bounded-choice",
        "a decision looks at some replicas of a large pool, not at all",
        ("replica_pool.MAX_SMALL_POOL=100000",),
    ),
    Mechanism(
        "pauses",
        "a prompt's cost counts the streams that it makes pause",
        ("replica_cost.GAP_MISS_WEIGHT=0.0",),
    ),
    Mechanism(
        "lateness",
        "waits that endanger the objective weigh more",
        ("replica_cost.SLO_MISS_WEIGHT=0.0",),
    ),
    Mechanism(
        "affinity",
        "reading shared parts again weighs more than waiting",
        ("replica_cost.REPREFILL_WEIGHT=0.0", "replica_cost.PROBABLY_CACHED_WEIGHT=1.0"),
    ),
    Mechanism(
        "common-choice",
        "the replica that all fronts agree on is preferred for a chain",
        ("replica_cost.PROBABLY_CACHED_WEIGHT=1.0",),
    ),
    Mechanism(
        "running",
        "running requests count beside waiting tokens",
        ("replica_cost.RUNNING_REQUEST_COST_S=0.0",),
    ),
    Mechanism(
        "spill",
        "the plan sends away what a region can't read in time",
        ("region_problem.TARGET_UTILIZATION=100.0",),
    ),
    Mechanism(
        "far-front",
        "answers of the directory name a front of another region",
        ("directory.MAX_BACKUP_FRONTS=0",),
    ),
    Mechanism(
        "silence",
        "replicas that owe answers and say nothing are passed over",
        ("replica_load.RESPONSE_TIMEOUT_S=1000.0",),
    ),
    Mechanism(
        "list-doubt",
        "denied replicas cast doubt on their zone's entries",
        ("stale_endpoint_detector.MISMATCHES_FOR_SUSPICION=100000",),
    ),
)

MECHANISMS: dict[str, Mechanism] = {mechanism.name: mechanism for mechanism in _ALL}
