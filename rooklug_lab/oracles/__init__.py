"""Oracles: each judges one promise from what callers, back ends and operators saw."""
