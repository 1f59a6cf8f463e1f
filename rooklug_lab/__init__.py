"""Proof only: stand-ins, fleet, simulator, load tool. Never part of a daemon."""
