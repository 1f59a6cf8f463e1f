"""The state of membership at a core, and the answers that are made from it."""

import attrs

from rooklug.engine import effects as fx
from rooklug.membership.decisions import DecisionReply, DecisionStream
from rooklug.membership.leases import LeaseTable
from rooklug.membership.long_poll_registry import LongPollRegistry, PollReply
from rooklug.membership.members_topic import MembersTopic
from rooklug.membership.primary_tracker import PrimaryTracker
from rooklug.membership.roles import RoleTable
from rooklug.membership.topic_store import TopicStore
from rooklug.wire.generated.control import ttypes


@attrs.define
class MembershipState:
    """The state that the services of the membership component share. All of it is in memory."""

    primary: PrimaryTracker
    leases: LeaseTable = attrs.field(factory=LeaseTable)
    roles: RoleTable = attrs.field(factory=RoleTable)
    store: TopicStore = attrs.field(factory=TopicStore)
    members: MembersTopic = attrs.field(factory=MembersTopic)
    decisions: DecisionStream = attrs.field(factory=DecisionStream)
    drained_zones: frozenset[str] = frozenset()
    polls: LongPollRegistry = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.polls = LongPollRegistry(self.store)

    def acts(self, now: float) -> bool:
        """Return whether this core may answer as the primary."""
        return self.primary.acts(now)

    def move_roles(self, now: float) -> list[fx.Effect]:
        """Choose nodes for the roles that need one, and request their renewals."""
        self.roles.plan(self.leases.live(), self.drained_zones, now)
        return self.request_renewal(now)

    def request_renewal(self, now: float) -> list[fx.Effect]:
        """Request renewals of the nodes whose roles can move on."""
        nodes = self.roles.nodes_to_renew(now)
        return self.poll_answers(self.polls.request_renewal(nodes), now) if nodes else []

    def renewal_refusal(self, now: float) -> ttypes.RenewLeaseAnswer:
        """Return the answer to a renewal that brings no lease."""
        return self._renewal_answer(0, [], now, granted=False)

    def renewal_grant(
        self, lease_ms: int, grants: list[ttypes.RoleGrant], now: float
    ) -> ttypes.RenewLeaseAnswer:
        """Return the answer to a renewal with its lease, and the roles that the node owns."""
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
        """Return the answers that end polls."""
        reachable = self.acts(now)
        address = self.primary.address(now)
        return [
            fx.Answer(
                reply.call_id,
                ttypes.PollAnswer(reply.updates, reachable, self.primary.epoch, address),
            )
            for reply in replies
        ]

    def wake(self, now: float) -> list[fx.Effect]:
        """Answer the polls for which something newer is there."""
        return self.poll_answers(self.polls.wake(), now) if self.acts(now) else []

    def decision_answers(self, replies: list[DecisionReply], now: float) -> list[fx.Effect]:
        """Return the answers that end reads of decisions."""
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

    def decisions_refused(self, call_id: int, now: float) -> fx.Effect:
        """Return the answer to a read of decisions where there are none."""
        answer = ttypes.ReadDecisionsAnswer(
            decisions=[], primary_address=self.primary.address(now), ok=False, gap=False
        )
        return fx.Answer(call_id, answer)

    def release_all(self, now: float) -> list[fx.Effect]:
        """End all pending polls and reads: this core can't confirm any more that it is current."""
        poll_answers = self.poll_answers(self.polls.release_all(), now)
        refusals = [self.decisions_refused(call, now) for call in self.decisions.release_all()]
        return poll_answers + refusals
