"""A soak: the platform's programs as real processes, disturbed by seeded overlapping events.

``plan`` draws what happens from the seed; ``site`` runs the processes; ``replicas``, ``clients``
and ``operators`` are the stand-ins; ``ledger`` records what they saw; ``oracles`` judges it.
"""
