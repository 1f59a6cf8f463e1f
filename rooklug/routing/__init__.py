"""Pure routing policies: hash ring, senders' shares and peers' loads; no I/O and no clock."""
