"""Compares merge patches with the pseudocode of RFC 7396 as an oracle."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.config.patching import apply_merge_patch, digest

# RFC 7396, appendix A: document, patch, result.
RFC_EXAMPLES = (
    ('{"a":"b"}', '{"a":"c"}', '{"a":"c"}'),
    ('{"a":"b"}', '{"b":"c"}', '{"a":"b","b":"c"}'),
    ('{"a":"b"}', '{"a":null}', "{}"),
    ('{"a":"b","b":"c"}', '{"a":null}', '{"b":"c"}'),
    ('{"a":["b"]}', '{"a":"c"}', '{"a":"c"}'),
    ('{"a":"c"}', '{"a":["b"]}', '{"a":["b"]}'),
    ('{"a":{"b":"c"}}', '{"a":{"b":"d","c":null}}', '{"a":{"b":"d"}}'),
    ('{"a":[{"b":"c"}]}', '{"a":[1]}', '{"a":[1]}'),
    ('["a","b"]', '["c","d"]', '["c","d"]'),
    ('{"a":"b"}', '["c"]', '["c"]'),
    ('{"a":"foo"}', "null", "null"),
    ('{"a":"foo"}', '"bar"', '"bar"'),
    ('{"e":null}', '{"a":1}', '{"a":1,"e":null}'),
    ("[1,2]", '{"a":"b","c":null}', '{"a":"b"}'),
    ("{}", '{"a":{"bb":{"ccc":null}}}', '{"a":{"bb":{}}}'),
)

_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**53) + 1, 2**53 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"]), max_size=4)
)
_KEYS = st.sampled_from(["a", "b", "c", "é", 'x"y', "a.b"])
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(_KEYS, inner, max_size=4),
    max_leaves=12,
)


def oracle(target: object, patch: object) -> object:
    """The pseudocode of RFC 7396, section 2."""
    if isinstance(patch, dict):
        if not isinstance(target, dict):
            target = {}
        target = json.loads(json.dumps(target))
        for name in patch:
            if patch[name] is None:
                if name in target:
                    del target[name]
            else:
                target[name] = oracle(target.get(name), patch[name])
        return target
    return patch


class PatchingTest(unittest.TestCase):
    def test_examples_of_the_rfc(self) -> None:
        for document, patch, expected in RFC_EXAMPLES:
            result = apply_merge_patch(document.encode(), patch.encode())
            self.assertEqual(result.ok, expected.encode(), (document, patch))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(_VALUES, _VALUES)
    def test_equals_the_oracle(self, target: object, patch: object) -> None:
        result = apply_merge_patch(json.dumps(target).encode(), json.dumps(patch).encode())
        self.assertEqual(json.loads(result.ok), oracle(target, patch))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.dictionaries(_KEYS, _VALUES, max_size=4))
    def test_result_is_canonical(self, target: dict) -> None:
        spaced = json.dumps(target, indent=1).encode()
        sorted_keys = json.dumps(target, sort_keys=True).encode()
        first = apply_merge_patch(spaced, b"{}").ok
        self.assertEqual(apply_merge_patch(sorted_keys, b"{}").ok, first)
        self.assertEqual(apply_merge_patch(first, b"{}").ok, first)

    def test_integral_numbers_are_integers_and_keys_sorted(self) -> None:
        result = apply_merge_patch(b'{"b": 1.0, "a": 2.5}', b'{"c": 1e3}')
        self.assertEqual(result.ok, b'{"a":2.5,"b":1,"c":1000}')

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=40), st.binary(max_size=40))
    def test_garbage_is_a_value(self, document: bytes, patch: bytes) -> None:
        result = apply_merge_patch(document, patch)
        self.assertTrue(result.is_ok() or result.error)

    def test_problem_paths_distinguish_document_and_patch(self) -> None:
        result = apply_merge_patch(b'{"a": NaN}', b'{"b": 1, "b": 2}')
        self.assertEqual([problem.path for problem in result.error], ["document.a", "patch.b"])

    def test_digest_is_sha256(self) -> None:
        self.assertEqual(digest(b"abc")[:16], "ba7816bf8f01cfea")
