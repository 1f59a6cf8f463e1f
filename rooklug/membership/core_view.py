"""What the core keeps for the nodes, and the answers that are made from it."""

import attrs

from rooklug.engine import effects as fx
from rooklug.membership.decisions import DecisionReply, DecisionStream
from rooklug.membership.hub import Hub, PollReply
from rooklug.membership.leases import LeaseTable
from rooklug.membership.members_topic import MembersTopic
from rooklug.membership.primacy import Primacy
from rooklug.membership.roles import RoleTable
from rooklug.membership.topic_store import TopicStore
from rooklug.wire.generated.control import ttypes


@attrs.define
class CoreView:
    """The state that the services of the membership part share."""

    primacy: Primacy
    leases: LeaseTable = attrs.field(factory=LeaseTable)
    roles: RoleTable = attrs.field(factory=RoleTable)
    store: TopicStore = attrs.field(factory=TopicStore)
    members: MembersTopic = attrs.field(factory=MembersTopic)
    decisions: DecisionStream = attrs.field(factory=DecisionStream)
    drained_zones: frozenset[str] = frozenset()
    hub: Hub = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.hub = Hub(self.store)

    def acts(self, now: float) -> bool:
        """Tell whether this core may answer as the primary."""
        return self.primacy.acts(now)

    def move_roles(self, now: float) -> list[fx.Effect]:
        """Choose nodes for the roles that need one, and ask them to renew."""
        self.roles.plan(self.leases.live(), self.drained_zones, now)
        return self.ask_to_renew(now)

    def ask_to_renew(self, now: float) -> list[fx.Effect]:
        """Ask the nodes to renew whose roles can move on."""
        nodes = self.roles.nodes_to_ask(now)
        return self.poll_answers(self.hub.ask_to_renew(nodes), now) if nodes else []

    def renewal_answer(
        self, granted: bool, lease_ms: int, grants: list[ttypes.RoleGrant], now: float
    ) -> ttypes.RenewLeaseAnswer:
        """Return the answer to a renewal."""
        return ttypes.RenewLeaseAnswer(
            granted=granted,
            lease_ms=lease_ms,
            grants=grants,
            epoch=self.primacy.epoch,
            primary_address=self.primacy.address(now),
            newest=self.store.versions(),
        )

    def poll_answers(self, replies: list[PollReply], now: float) -> list[fx.Effect]:
        """Return the answers that end polls."""
        reachable = self.acts(now)
        address = self.primacy.address(now)
        return [
            fx.Answer(
                reply.call_id,
                ttypes.PollAnswer(reply.updates, reachable, self.primacy.epoch, address),
            )
            for reply in replies
        ]

    def wake(self, now: float) -> list[fx.Effect]:
        """Answer the polls for which something newer is there."""
        return self.poll_answers(self.hub.wake(), now) if self.acts(now) else []

    def decision_answers(self, replies: list[DecisionReply], now: float) -> list[fx.Effect]:
        """Return the answers that end reads of decisions."""
        address = self.primacy.address(now)
        return [
            fx.Answer(
                reply.call_id,
                ttypes.ReadDecisionsAnswer(reply.page.decisions, address, True, reply.page.gap),
            )
            for reply in replies
        ]

    def decisions_refused(self, call_id: int, now: float) -> fx.Effect:
        """Return the answer to a read of decisions where there are none."""
        answer = ttypes.ReadDecisionsAnswer([], self.primacy.address(now), False, False)
        return fx.Answer(call_id, answer)

    def release_all(self, now: float) -> list[fx.Effect]:
        """End all that waits: this core can't confirm any more that it is current."""
        polls = self.poll_answers(self.hub.release_all(), now)
        reads = [self.decisions_refused(call, now) for call in self.decisions.release_all()]
        return polls + reads
