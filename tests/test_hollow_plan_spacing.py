"""Plans of a large fleet are published seldom enough for its fronts, none is lost."""

import unittest
from types import SimpleNamespace

from rooklug.config.document import Configuration
from rooklug.controller.moves import MoveStep
from rooklug.controller.plan_publisher import PlanPublisher


class Link:
    """Notes when something was published."""

    def __init__(self):
        self.bodies = []

    def publish(self, topic, role_key, body, decisions, now):
        self.bodies.append((now, body))
        return []

    def published_sequence(self, topic):
        return len(self.bodies)


class EmptyPlans(PlanPublisher):
    """Publishes plans that differ in nothing but the configuration's version."""

    def _build(self, step, cause, configuration, now):
        return SimpleNamespace(configuration_version=self.reader.version, replicas=[], matrix=[])


def published(replicas, seconds):
    """Change the matrix each 0.1 s; return the times and the last version published."""
    link = Link()
    fleet = SimpleNamespace(replicas=dict.fromkeys(range(replicas)))
    decisions = SimpleNamespace(has_pending=False, take_pending=list)
    configuration = Configuration({}, {}, {})
    reader = SimpleNamespace(version=0)
    publisher = EmptyPlans(link, reader, fleet, decisions)
    for tick in range(round(seconds * 10)):
        reader.version = min(tick, round(seconds * 10) - 30)
        publisher.dirty = True
        publisher.publish_if_changed(MoveStep(), "", configuration, tick * 0.1)
    return [at for at, _ in link.bodies], link.bodies[-1][1].configuration_version


class PlanSpacingTest(unittest.TestCase):
    def test_a_small_site_publishes_at_once(self):
        times, _ = published(9, 10.0)
        self.assertGreaterEqual(len(times), 40)  # as often as 0.1 s allows

    def test_a_large_fleet_publishes_less_than_once_a_second_and_the_newest_in_the_end(self):
        times, newest = published(830, 10.0)
        self.assertLessEqual(len(times), 7)
        self.assertEqual(newest, 70)
