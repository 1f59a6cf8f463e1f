"""Deltas give the document to the byte, or nothing."""

import json
import unittest
from hashlib import sha256

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.config.json_text import canonical_bytes
from rooklug.config.patching import apply_merge_patch
from rooklug.distribution.document_delta import (
    ApplyTask,
    DeltaTask,
    apply_delta,
    make_deltas,
    make_merge_patch,
    merge_patch,
)
from rooklug.distribution.members_delta import apply_members_delta, make_members_delta
from rooklug.wire.generated.control import ttypes
from rooklug.wire.generated.control.ttypes import VersionMark

KEYS = st.text(alphabet="abé", max_size=2)
LEAVES = st.one_of(
    st.none(), st.booleans(), st.integers(-5, 5), st.floats(-2, 2), st.text(max_size=3)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(KEYS, VALUES, max_size=5)
FILLING = {"filling": "x" * 400}
MARKS = st.builds(VersionMark, st.integers(1, 3), st.integers(1, 3))
NODES = st.builds(
    lambda name, incarnation, ready: ttypes.NodeRecord(
        name, "front", "z", "r", "i", "h", incarnation, ready, False, VersionMark(0, 0)
    ),
    st.sampled_from("abcd"),
    st.sampled_from("12"),
    st.booleans(),
)
OWNERS = st.builds(
    ttypes.RoleOwner, st.sampled_from("kl"), st.sampled_from("ab"), st.just("i"), MARKS
)
MEMBERS = st.builds(
    lambda nodes, owners: ttypes.MembersBody(
        sorted(nodes, key=lambda node: node.node_id),
        sorted(owners, key=lambda owner: owner.role_key),
    ),
    st.lists(NODES, unique_by=lambda node: node.node_id),
    st.lists(OWNERS, unique_by=lambda owner: owner.role_key),
)


def sha(data: bytes) -> str:
    return sha256(data).hexdigest()


class DeltaTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(DOCUMENTS, DOCUMENTS)
    def test_a_delta_that_is_offered_gives_the_document(self, old: dict, new: dict) -> None:
        base, target = canonical_bytes(old | FILLING), canonical_bytes(new | FILLING)
        (patch,) = make_deltas(DeltaTask((base,), target))
        if patch is None:
            return
        self.assertEqual(apply_delta(ApplyTask(base, patch, sha(target))), target)
        # The operators' own patch function is the oracle.
        self.assertEqual(apply_merge_patch(base, patch).ok, target)

    @settings(derandomize=True, deadline=None)
    @given(DOCUMENTS, st.lists(st.tuples(KEYS, st.integers()), max_size=3))
    def test_changes_without_nulls_always_have_a_delta(self, old: dict, changes: list) -> None:
        old = {key: value for key, value in old.items() if b"null" not in canonical_bytes(value)}
        new = old | dict(changes)
        self.assertEqual(
            canonical_bytes(merge_patch(old, make_merge_patch(old, new))), canonical_bytes(new)
        )

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60), st.binary(max_size=60))
    def test_garbage_gives_nothing(self, base: bytes, patch: bytes) -> None:
        self.assertIsNone(apply_delta(ApplyTask(base, patch, "0" * 64)))

    def test_one_and_true_and_one_point_five_are_different(self) -> None:
        self.assertEqual(make_merge_patch({"a": 1, "b": [1]}, {"a": True, "b": [True]})["a"], True)
        self.assertEqual(make_merge_patch({"a": [1]}, {"a": [True]}), {"a": [True]})

    def test_a_document_in_the_operators_own_layout_goes_whole(self) -> None:
        base = canonical_bytes(FILLING)
        target = json.dumps(FILLING | {"a": 1}, indent=2).encode()
        self.assertEqual(make_deltas(DeltaTask((base,), target)), (None,))

    def test_a_large_difference_goes_whole(self) -> None:
        target = canonical_bytes({"other": "y" * 400})
        self.assertEqual(make_deltas(DeltaTask((canonical_bytes(FILLING),), target)), (None,))


class MembersDeltaTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(MEMBERS, MEMBERS)
    def test_a_delta_gives_the_newer_body(
        self, old: ttypes.MembersBody, new: ttypes.MembersBody
    ) -> None:
        delta = make_members_delta(old, new)
        self.assertEqual(apply_members_delta(old, delta), new)
        self.assertEqual(make_members_delta(new, new), ttypes.MembersDelta([], [], [], []))
