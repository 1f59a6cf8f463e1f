"""Proof of the placement: deployments, move sweeps and a day in virtual time."""
