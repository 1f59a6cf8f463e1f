"""Pass-through serving: callers' HTTP requests go unchanged to the replicas of a service.

What the edge says on the wire (header names, paths, bodies) is given as a ``dialect``; the
components here decide.
"""
