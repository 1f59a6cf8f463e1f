"""A whole site as real processes on 127.0.0.0/8, with faults to order."""
