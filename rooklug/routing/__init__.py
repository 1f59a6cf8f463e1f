"""Routing building blocks for fronts: hash ring, shares of a rate bound, and peers' loads.

The package does no I/O, reads no clock and keeps no global state: callers own the objects and pass
in the time. The entry point is ``send_shares.py``.

Imports nothing from rooklug.
"""
