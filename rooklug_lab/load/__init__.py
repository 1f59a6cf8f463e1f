"""Open-loop load, and the latency that one front adds."""
