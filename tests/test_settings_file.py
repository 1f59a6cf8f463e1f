"""Settings from files and flags: all problems are reported, none is silently corrected."""

import io
import tempfile
import tomllib
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.cli import exit_codes
from rooklug.cli.main import main
from rooklug.cli.settings_file import SettingsInput, read_settings

FRONT = """
node_id = "front-1"
zone = "cairo-a"
region = "cairo"
listen_internal = "127.0.1.1:7000"
listen_http = "127.0.1.1:8000"
seeds = ["127.0.1.1:7001", "127.0.1.2:7001"]
"""
CORE = """
node_id = "core-1"
zone = "cairo-a"
region = "cairo"
listen_internal = "127.0.1.1:7001"
listen_http = "127.0.1.1:8001"
seeds = []
data_folder = "data"
[members]
core-1 = "127.0.1.1:7001"
core-2 = "127.0.1.2:7001"
core-3 = "127.0.1.3:7001"
"""

NAMES = ("node_id", "zone", "seeds", "members", "listen_http", "bind_ip", "log_level", "other")
VALUES = st.one_of(
    st.text(max_size=12),
    st.sampled_from(("127.0.0.1:1", "127.0.0.\u00b2", "127.0.0.1:\u00b2", "a", "info")),
    st.integers(),
    st.booleans(),
    st.lists(st.text(max_size=5), max_size=3),
    st.dictionaries(st.text(max_size=5), st.text(max_size=5), max_size=3),
)


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.file = str(Path(temporary.name) / "node.toml")

    def read(self, text: str, role: str = "front", **flags: object) -> object:
        Path(self.file).write_text(text)
        return read_settings(SettingsInput(role, self.file, flags))

    def problems(self, text: str, role: str = "front", **flags: object) -> list[str]:
        return [str(problem) for problem in self.read(text, role, **flags).error.problems]

    def test_front(self) -> None:
        node = self.read(FRONT).ok.node
        self.assertEqual((node.role, node.http_address), ("front", "127.0.1.1:8000"))
        self.assertEqual(node.seeds, ("127.0.1.1:7001", "127.0.1.2:7001"))

    def test_core(self) -> None:
        settings = self.read(CORE, "core").ok
        self.assertEqual(sorted(settings.members), ["core-1", "core-2", "core-3"])

    def test_flags_override_the_file(self) -> None:
        settings = self.read(FRONT, zone="cairo-b", http_address="127.0.9.9:1").ok
        self.assertEqual(
            (settings.node.zone, settings.node.http_address), ("cairo-b", "127.0.9.9:1")
        )

    def test_all_problems_are_reported_at_once(self) -> None:
        text = FRONT.replace('"cairo-a"', '"cairo a"').replace("127.0.1.1:8000", "localhost:8000")
        problems = self.problems(text.replace("127.0.1.2:7001", "127.0.1.2"), log_level="loud")
        paths = [problem.split(":")[0] for problem in problems]
        self.assertEqual(paths, ["zone", "listen_http", "http_address", "seeds[1]", "log_level"])

    def test_missing_unknown_and_mistyped_settings_are_reported_at_once(self) -> None:
        text = FRONT.replace('region = "cairo"', "").replace('"front-1"', "7") + "color = 1\n"
        problems = self.problems(text)
        self.assertEqual(len(problems), 3)
        self.assertTrue(any("region" in problem for problem in problems))
        self.assertTrue(any("color" in problem for problem in problems))
        self.assertTrue(any("must be a string, not 7" in problem for problem in problems))

    def test_one_seed_must_still_be_a_list(self) -> None:
        text = FRONT.replace('["127.0.1.1:7001", "127.0.1.2:7001"]', '"127.0.1.1:7001"')
        self.assertEqual(self.problems(text), ["seeds: must be a list, not '127.0.1.1:7001'"])

    def test_wrong_members(self) -> None:
        for change, expected in (
            (('core-3 = "127.0.1.3:7001"', ""), "needs 3 cores, not 2"),
            (("127.0.1.3:7001", "127.0.1.2:7001"), "one address"),
            (('core-1 = "127.0.1.1:7001"', 'core-9 = "127.0.1.9:7001"'), "not among them"),
            (('core-1 = "127.0.1.1:7001"', 'core-1 = "127.0.1.9:7001"'), "is not internal_address"),
            (('data_folder = "data"', ""), "a core needs one"),
        ):
            with self.subTest(expected):
                problems = self.problems(CORE.replace(*change), "core")
                self.assertTrue(any(expected in problem for problem in problems), problems)

    @settings(derandomize=True, deadline=None)
    @given(st.dictionaries(st.sampled_from(NAMES), VALUES))
    def test_any_values_are_read_or_refused_with_a_reason(self, values: dict) -> None:
        for role, text in (("core", CORE), ("front", FRONT)):
            given_values = {**tomllib.loads(text), **values}
            result = read_settings(SettingsInput(role, "", given_values))
            self.assertTrue(result.is_ok() or all(str(p) for p in result.error.problems))

    def test_addresses_must_be_ip_numbers_and_ports(self) -> None:
        wrong = (
            "127.0.0.\u00b2:1",
            "127.0.0.1:\u00b2",
            "1.2.3:4",
            "1.2.3.4:65536",
            "::1:5",
            "",
            "a",
        )
        for address in wrong:
            with self.subTest(address):
                self.assertTrue(self.problems(FRONT, http_address=address))

    def test_cut_files_are_refused_or_have_a_meaning(self) -> None:
        for length in range(0, len(CORE), 7):
            result = self.read(CORE[:length], "core")
            self.assertTrue(result.is_ok() or result.error.problems)

    def test_unreadable_files(self) -> None:
        self.assertEqual(len(self.problems("node_id = ")), 1)
        missing = read_settings(SettingsInput("front", self.file + ".none", {}))
        self.assertIn("No such file", str(missing.error.problems[0]))

    def test_check_prints_the_problems_and_fails(self) -> None:
        Path(self.file).write_text(FRONT.replace("cairo-a", "!"))
        errors = io.StringIO()
        with redirect_stderr(errors):
            code = main(["front", "--settings", self.file, "--check"])
        self.assertEqual(code, exit_codes.USAGE)
        self.assertIn("zone", errors.getvalue())

    def test_check_of_flags_alone(self) -> None:
        flags = ["--node-id", "core-1", "--zone", "a", "--region", "r", "--data-folder", "d"]
        flags += ["--listen-internal", "127.0.0.1:1", "--listen-http", "127.0.0.1:2"]
        for number in (1, 2, 3):
            flags += ["--member", f"core-{number}=127.0.0.{number}:1"]
        with redirect_stdout(io.StringIO()):
            self.assertEqual(main(["core", *flags, "--check"]), exit_codes.OK)
