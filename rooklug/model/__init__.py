"""Definitions shared by several packages: settings, topics, versions, internal events, constants.

May import ``engine`` and the generated structs of ``wire``.
"""
