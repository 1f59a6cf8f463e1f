"""Publications of this node as a role owner, retained until its grant ends.

The newest body of each topic is retained also after it was accepted: a new primary has none, so
the node publishes it again there, with the recent decisions.
"""

from collections import deque

import attrs

from rooklug.wire.generated.control.ttypes import (
    DecisionRecord,
    PublishRequest,
    RoleGrant,
    VersionMark,
)

RECENT_DECISIONS = 512
"""Decisions retained for each topic; a new primary can't learn older ones."""


@attrs.define
class Publication:
    """The newest publication of one topic.

    ``accepted_epoch`` is the epoch of the primary that last accepted one, or 0. The other
    ``accepted_...`` fields are the highest sequences that were accepted.
    """

    topic: str
    role_key: str
    token: VersionMark
    sequence: int
    body: bytes
    accepted_epoch: int = 0
    decisions: deque[DecisionRecord] = attrs.field(factory=lambda: deque(maxlen=RECENT_DECISIONS))
    last_decision: int = 0
    accepted_decision: int = 0
    accepted_sequence: int = 0

    def add_decision(self, record: DecisionRecord) -> None:
        """Add a decision.

        It gets the token and the next sequence unless its role has already numbered it in order.
        """
        numbered = record.token == self.token and (record.sequence or 0) > self.last_decision
        if not numbered:
            record.token = self.token
            record.sequence = self.last_decision + 1
        self.last_decision = record.sequence
        self.decisions.append(record)

    def request(self, epoch: int) -> PublishRequest:
        """Return the request for the primary of ``epoch``.

        A primary that has accepted earlier decisions gets only those after them.
        """
        first = self.accepted_decision + 1 if epoch == self.accepted_epoch else 0
        decisions = [record for record in self.decisions if record.sequence >= first]
        return PublishRequest(
            topic=self.topic,
            role_key=self.role_key,
            token=self.token,
            sequence=self.sequence,
            body=self.body,
            decisions=decisions,
        )


@attrs.define
class PublicationOutbox:
    """The publications of this node, by topic."""

    _publications: dict[str, Publication] = attrs.field(factory=dict)
    _changed: set[str] = attrs.field(factory=set)

    def put(
        self, topic: str, grant: RoleGrant, body: bytes, decisions: list[DecisionRecord]
    ) -> None:
        """Queue a body in place of the topic's earlier one, and number its decisions.

        A grant with a new token starts the sequences again.
        """
        publication = self._publications.get(topic)
        if publication is None or publication.token != grant.token:
            publication = Publication(topic, grant.role_key, grant.token, 0, body)
            self._publications[topic] = publication
        publication.sequence += 1
        publication.body = body
        for record in decisions:
            publication.add_decision(record)
        self._changed.add(topic)

    def unsent(self, epoch: int) -> list[Publication]:
        """Return the publications that the primary of ``epoch`` hasn't accepted, by topic."""
        return [
            self._publications[topic]
            for topic in sorted(self._publications)
            if topic in self._changed or self._publications[topic].accepted_epoch != epoch
        ]

    def record_accepted(self, request: PublishRequest, epoch: int) -> None:
        """Record that the primary of ``epoch`` accepted ``request``; ignores an earlier token."""
        publication = self._publications.get(request.topic)
        if publication is None or publication.token != request.token:
            return
        publication.accepted_epoch = epoch
        publication.accepted_sequence = max(publication.accepted_sequence, request.sequence)
        last = max((record.sequence for record in request.decisions), default=0)
        publication.accepted_decision = max(publication.accepted_decision, last)
        if publication.sequence == request.sequence:
            self._changed.discard(request.topic)

    def published_sequence(self, topic: str) -> int:
        """Return the sequence of the topic's newest publication, or 0 without one."""
        publication = self._publications.get(topic)
        return publication.sequence if publication is not None else 0

    def accepted_sequence(self, topic: str) -> int:
        """Return the highest accepted sequence of the topic under the present token, or 0."""
        publication = self._publications.get(topic)
        return publication.accepted_sequence if publication is not None else 0

    def drop(self, topic: str) -> None:
        """Drop the publication of a topic whose grant has ended."""
        self._publications.pop(topic, None)
        self._changed.discard(topic)
