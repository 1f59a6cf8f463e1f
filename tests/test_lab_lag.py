import json
import unittest
from importlib import resources

from rooklug.config.document_reader import read_configuration
from rooklug_lab.lag import (
    document_with_routes,
    route_name,
    route_patch,
    version_in_head,
    whole_document,
)

BASE = resources.files("rooklug.config").joinpath("examples/payroll.json").read_bytes()


class DocumentTest(unittest.TestCase):
    def test_has_as_many_routes_as_asked_and_is_valid(self):
        document = document_with_routes(BASE, 40)
        self.assertEqual(len(json.loads(document)["routes"]), 40)
        self.assertTrue(read_configuration(document).is_ok())

    def test_patch_and_whole_document_change_the_same(self):
        document = document_with_routes(BASE, 40)
        changed = json.loads(whole_document(document, 7))["routes"][route_name(0)]
        patched = json.loads(route_patch(7))["routes"][route_name(0)]
        self.assertEqual(changed["deadline_s"], patched["deadline_s"])


class HeadTest(unittest.TestCase):
    def test_version(self):
        head = b"HTTP/1.1 200 OK\r\nX-Rooklug-Version: 12\r\n\r\n"
        self.assertEqual(version_in_head(head), 12)

    def test_no_version(self):
        for head in (b"", b"HTTP/1.1 200 OK\r\nx-rooklug-version: none\r\n\r\n"):
            self.assertEqual(version_in_head(head), -1)
