"""Any settings file is read, or refused with one message for each invalid field."""

import os
import tempfile
import unittest
import unittest.mock
from pathlib import Path

from hypothesis import example, given
from hypothesis import strategies as st

from tests import hostile_input
from tests.platform_documents import main, settings
from tests.test_platform_adapter import SETTINGS

FIELDS = [line.partition("=")[0] for line in SETTINGS.splitlines()] + [
    "fault_tolerance.machines",
    "bounds.cold_overshoot",
    "bounds.budget_window_s",
    "bounds.retry_budget_slack",
]
VALUES = st.sampled_from(
    ["nan", "inf", "-1", "1e400", "²", "x", "", "9" * 5000, "1.5", "0", "70000,70001", "7,", "::1"]
)


def replaced(field: str, value: str) -> str:
    others = [line for line in SETTINGS.splitlines() if line.partition("=")[0] != field]
    return "\n".join([*others, f"{field}={value}"])


class SettingsInput(unittest.TestCase):
    def test_each_field_that_no_process_can_use_is_refused_by_its_name(self):
        # Such a field ended the start with a traceback, or was taken: nan as the grace period.
        for field, value in (
            ("bounds.grace_s", "nan"),
            ("bounds.ttl_max_s", "inf"),
            ("bounds.cold_slack", "-1"),
            ("fault_tolerance.machines", "one"),
            ("fault_tolerance.machines", "9" * 5000),
            ("internal_ports", "²,3"),
            ("internal_ports", "65535,70000"),
            ("internal_ports", "7675,7660"),
            ("listen_addresses.front", "10.1.0.12"),
            ("listen_addresses.control", "10.1.0.12:70000"),
            ("cloud.address", "cloud:80"),
            ("seed_nodes", "10.1.0.12:8146,10.2.0.22"),
            ("ip_address", "front-1"),
        ):
            with self.subTest(field, value=value[:20]):
                (problem,) = settings.read_settings(replaced(field, value)).error
                self.assertTrue(problem.startswith(f"{field}: "))

    @given(st.sampled_from(FIELDS), VALUES | hostile_input.texts())
    @example("fault_tolerance.machines", "1.5")
    def test_any_file_that_is_accepted_makes_a_node(self, field, value):
        read = settings.read_settings(replaced(field, value))
        if read.is_error():
            self.assertTrue(read.error)
            return
        main.gateway_limits(read.ok)
        main.node_settings(read.ok, main.FRONT)
        main.core_host(read.ok)

    def test_a_file_that_is_no_text_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_bytes(b"node_name=\xff\n")
            with unittest.mock.patch.dict(os.environ, {settings.PATH_VARIABLE: str(path)}):
                self.assertTrue(settings.load_settings().is_error())
