"""The keys that a configuration can bring, with thousands of routes of few shapes."""

import unittest

from rooklug.config.document import RouteKind
from rooklug.config.document_reader import read_configuration
from rooklug.controller import problem_builder
from rooklug.placement.problem import DemandKey
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import HollowSize

CONFIGURATION = read_configuration(build_site(HollowSize(), 20).document).ok


class ConfiguredKeysTest(unittest.TestCase):
    def test_they_are_those_of_every_model_route_from_every_region(self):
        expected = {
            DemandKey(route.model, route.latency_class, region, tuple(sorted(route.home_regions)))
            for route in CONFIGURATION.routes.values()
            if route.kind is RouteKind.MODEL
            for region in CONFIGURATION.regions
        }
        keys = problem_builder.configured_keys(CONFIGURATION)
        self.assertEqual(len(keys), len(expected))
        self.assertEqual(set(keys), expected)

    def test_each_key_is_made_once_however_many_routes_have_it(self):
        made = []

        def counting(*fields):
            made.append(fields)
            return DemandKey(*fields)

        self.addCleanup(setattr, problem_builder, "DemandKey", DemandKey)
        problem_builder.DemandKey = counting
        keys = problem_builder.configured_keys(CONFIGURATION)
        self.assertEqual(len(made), len(keys))
