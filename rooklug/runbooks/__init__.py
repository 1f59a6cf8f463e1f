"""Executable runbooks, whose steps check, act and verify, and state how to undo them.

Owns the runbooks and the view of the site that they work on. Entry points: ``catalogue.py`` (all
runbooks by name) and ``runner.py``.

May import ``cli.operator_client`` and ``cli.operator_requests``, and no other package.
"""
