"""Packed bodies: round trips, garbage, bombs; and that what all nodes get is packed."""

import unittest
import zlib
from random import Random

from rooklug.distribution.subscribed_topics import SubscribedTopics
from rooklug.model.topics import MEMBERS, PLAN, REPLICAS
from rooklug.wire.codec import encode
from rooklug.wire.frames import MAX_FRAME_BYTES
from rooklug.wire.generated.control.ttypes import (
    MembersBody,
    PlanBody,
    ReplicasBody,
    TopicUpdate,
    VersionMark,
    ZonesBody,
)
from rooklug.wire.packing import decode_packed, encode_packed
from rooklug_lab.hollow import bodies
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import HollowSize

SITE = build_site(HollowSize(40, 60), 20)
BODIES = {
    MEMBERS: (MembersBody, bodies.members_body(SITE)),
    REPLICAS: (ReplicasBody, bodies.replicas_body(SITE)),
    PLAN: (PlanBody, bodies.plan_body(SITE)),
}


class PackingTest(unittest.TestCase):
    def test_long_bodies_come_back_whole_and_are_far_smaller(self):
        for kind, body in BODIES.values():
            packed = encode_packed(body)
            self.assertEqual(decode_packed(kind, packed).ok, body)
            self.assertLess(len(packed) * 3, len(encode(body)))

    def test_short_bodies_and_those_of_older_nodes_are_read_too(self):
        short = ZonesBody(["zone"])
        self.assertEqual(encode_packed(short), encode(short))
        self.assertEqual(decode_packed(ZonesBody, encode_packed(short)).ok, short)
        kind, body = BODIES[PLAN]
        self.assertEqual(decode_packed(kind, encode(body)).ok, body)

    def test_no_body_begins_as_a_packed_one_does(self):
        for _, body in BODIES.values():
            self.assertNotEqual(encode(body)[0], zlib.compress(b"")[0])

    def test_damage_is_an_error_never_an_exception(self):
        kind, body = BODIES[REPLICAS]
        packed = encode_packed(body)
        random = Random(7)
        for _ in range(300):
            damaged = bytearray(packed)
            damaged[random.randrange(len(damaged))] ^= 1 << random.randrange(8)
            cut = bytes(damaged)[: random.randrange(len(damaged))]
            for garbage in (bytes(damaged), cut, packed + b"x"):
                result = decode_packed(kind, garbage)
                self.assertTrue(result.is_error() or result.ok == body)

    def test_a_bomb_is_refused(self):
        bomb = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
        self.assertTrue(decode_packed(PlanBody, bomb).is_error())

    def test_a_node_takes_packed_updates(self):
        for topic, (_, body) in BODIES.items():
            held = SubscribedTopics()
            held.apply(TopicUpdate(topic, VersionMark(1, 1), None, encode_packed(body)))
            self.assertEqual(held.body(topic), body)
