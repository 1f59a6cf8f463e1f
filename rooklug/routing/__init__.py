"""Pure routing policies that fronts share: hash ring, senders' shares, peers' loads.

Owns no state of its own; no I/O and no clock. Begin with ``send_shares.py``.

Imports nothing of rooklug.
"""
