"""What this node publishes as a role owner, until the primary has accepted it.

Per topic the newest body is retained, also after it was accepted: a new primary knows nothing,
so it is published again there, with the recent decisions.
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


@attrs.define
class Publication:
    """The newest publication of one topic. ``accepted_epoch``: of the primary that has it, or 0."""

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
        """Add a decision; it is numbered here unless its role has done so, in order."""
        numbered = record.token == self.token and (record.sequence or 0) > self.last_decision
        if not numbered:
            record.token = self.token
            record.sequence = self.last_decision + 1
        self.last_decision = record.sequence
        self.decisions.append(record)

    def request(self, epoch: int) -> PublishRequest:
        """Return the request for the primary of ``epoch``."""
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
    """The publications of all topics."""

    _publications: dict[str, Publication] = attrs.field(factory=dict)
    _changed: set[str] = attrs.field(factory=set)

    def put(
        self, topic: str, grant: RoleGrant, body: bytes, decisions: list[DecisionRecord]
    ) -> None:
        """Replace the topic's publication by a newer one, and number its decisions."""
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
        """Return the publications that the primary of ``epoch`` doesn't have yet."""
        return [
            self._publications[topic]
            for topic in sorted(self._publications)
            if topic in self._changed or self._publications[topic].accepted_epoch != epoch
        ]

    def record_accepted(self, request: PublishRequest, epoch: int) -> None:
        """The primary of ``epoch`` has accepted ``request``."""
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
        """Return the sequence of a topic's newest publication, 0 without one."""
        publication = self._publications.get(topic)
        return publication.sequence if publication is not None else 0

    def accepted_sequence(self, topic: str) -> int:
        """Return the highest sequence of a topic's publications that a primary has accepted."""
        publication = self._publications.get(topic)
        return publication.accepted_sequence if publication is not None else 0

    def drop(self, topic: str) -> None:
        """Drop a publication whose grant has expired."""
        self._publications.pop(topic, None)
        self._changed.discard(topic)
