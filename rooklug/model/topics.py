"""Names of the topics distributed by long poll, and of the roles that the cores grant to nodes."""

CONFIGURATION = "configuration"
ZONES = "zones"
MEMBERS = "members"
REPLICAS = "replicas"
PLAN = "plan"

ALL_TOPICS = (CONFIGURATION, ZONES, MEMBERS, REPLICAS, PLAN)

ROLE_PLACER = "placer"
ROLE_PLATFORM_WATCHER = "platform-watcher"
ROLE_PROBER_PREFIX = "prober/"
ROLE_CLAIMS_PREFIX = "claims/"

PROBER_SHARDS = 4
CLAIM_SHARDS = 16

PUBLISHERS = {REPLICAS: ROLE_PLATFORM_WATCHER, PLAN: ROLE_PLACER}
"""The role whose holder may publish a topic; the primary itself publishes the others."""
