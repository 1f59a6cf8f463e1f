"""The state that the membership services share, and the answers built from it."""

import attrs

from rooklug.engine import effects as fx
from rooklug.membership.decisions import DecisionReply, DecisionStream
from rooklug.membership.leases import LeaseTable
from rooklug.membership.long_poll_registry import LongPollRegistry, PollReply
from rooklug.membership.members_topic import MembersTopic
from rooklug.membership.primary_tracker import PrimaryTracker
from rooklug.membership.propagation import PropagationWatch
from rooklug.membership.roles import RoleTable
from rooklug.membership.topic_store import TopicStore
from rooklug.wire.generated.control import ttypes


@attrs.define
class MembershipState:
    """The tables and pending requests of one core. All of it is in memory."""

    primary: PrimaryTracker
    leases: LeaseTable = attrs.field(factory=LeaseTable)
    roles: RoleTable = attrs.field(factory=RoleTable)
    store: TopicStore = attrs.field(factory=TopicStore)
    members: MembersTopic = attrs.field(factory=MembersTopic)
    decisions: DecisionStream = attrs.field(factory=DecisionStream)
    propagation: PropagationWatch = attrs.field(factory=PropagationWatch)
    drained_zones: frozenset[str] = frozenset()
    polls: LongPollRegistry = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.polls = LongPollRegistry(self.store)

    def is_active_primary(self, now: float) -> bool:
        """Return whether this core may answer as the primary at ``now``; see ``PrimaryTracker``."""
        return self.primary.is_active_primary(now)

    def live_node_ids(self) -> list[str]:
        """Return the ids of all nodes with a lease at this core, sorted."""
        return [record.node_id for record in self.leases.live_nodes()]

    def reassign_roles(self, now: float) -> list[fx.Effect]:
        """Plan the owners of all roles, and request the renewals that roles wait for to move."""
        self.roles.plan(self.leases.live_nodes(), self.drained_zones, now)
        return self.request_renewal(now)

    def request_renewal(self, now: float) -> list[fx.Effect]:
        """End the polls of nodes whose next renewal lets a role move, so that they renew now."""
        nodes = self.roles.nodes_to_renew(now)
        return self.poll_answers(self.polls.request_renewal(nodes), now) if nodes else []

    def renewal_rejection(self, now: float) -> ttypes.RenewLeaseAnswer:
        """Return the answer to a renewal that is rejected."""
        return self._renewal_answer(0, [], now, granted=False)

    def renewal_grant(
        self, lease_ms: int, grants: list[ttypes.RoleGrant], now: float
    ) -> ttypes.RenewLeaseAnswer:
        """Return the answer that grants a lease, with all role grants of the node."""
        return self._renewal_answer(lease_ms, grants, now, granted=True)

    def _renewal_answer(
        self, lease_ms: int, grants: list[ttypes.RoleGrant], now: float, *, granted: bool
    ) -> ttypes.RenewLeaseAnswer:
        return ttypes.RenewLeaseAnswer(
            granted=granted,
            lease_ms=lease_ms,
            grants=grants,
            epoch=self.primary.epoch,
            primary_address=self.primary.address(now),
            newest=self.store.versions(),
        )

    def poll_answers(self, replies: list[PollReply], now: float) -> list[fx.Effect]:
        """Return the effects that answer polls."""
        reachable = self.is_active_primary(now)
        address = self.primary.address(now)
        return [
            fx.Answer(
                reply.call_id,
                ttypes.PollAnswer(reply.updates, reachable, self.primary.epoch, address),
            )
            for reply in replies
        ]

    def wake(self, now: float) -> list[fx.Effect]:
        """Answer the polls for which the store has newer versions, if this core is the primary."""
        return self.poll_answers(self.polls.wake(), now) if self.is_active_primary(now) else []

    def decision_answers(self, replies: list[DecisionReply], now: float) -> list[fx.Effect]:
        """Return the effects that answer reads of decisions."""
        address = self.primary.address(now)
        return [
            fx.Answer(
                reply.call_id,
                ttypes.ReadDecisionsAnswer(
                    decisions=reply.page.decisions,
                    primary_address=address,
                    ok=True,
                    gap=reply.page.gap,
                ),
            )
            for reply in replies
        ]

    def decisions_rejection(self, call_id: int, now: float) -> fx.Effect:
        """Return the answer to a read of decisions that isn't served by this core."""
        answer = ttypes.ReadDecisionsAnswer(
            decisions=[], primary_address=self.primary.address(now), ok=False, gap=False
        )
        return fx.Answer(call_id, answer)

    def release_all(self, now: float) -> list[fx.Effect]:
        """End all pending polls and reads: this core can't prove that its data is current."""
        poll_answers = self.poll_answers(self.polls.release_all(), now)
        rejections = [self.decisions_rejection(call, now) for call in self.decisions.release_all()]
        return poll_answers + rejections
