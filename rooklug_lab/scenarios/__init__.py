"""Scenarios with real processes: a fault under traffic, and what it did to the promises."""
