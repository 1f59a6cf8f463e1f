"""What stands in for the outside world: replicas, back ends, the platform, callers, operators.

Each is a reducer of the same engine as the daemons, so it runs in real processes and in
the simulator alike.
"""
