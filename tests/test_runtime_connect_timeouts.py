"""Connect timeouts: the growth after failures, and a peer that never accepts."""

import asyncio
import socket
import time
import unittest

from rooklug.runtime.addresses import ConnectError, connect_stream
from rooklug.runtime.connect_timeouts import (
    FIRST_TIMEOUT_S,
    MAX_TIMEOUT_S,
    ConnectTimeouts,
)


class ConnectTimeoutsTest(unittest.TestCase):
    def test_first_attempt_times_out_before_the_kernel_retransmits(self):
        self.assertLess(ConnectTimeouts().next_timeout_s("a:1"), 0.5)

    def test_each_failure_extends_the_next_timeout_up_to_the_maximum(self):
        timeouts = ConnectTimeouts()
        seen = []
        for _ in range(6):
            seen.append(timeouts.next_timeout_s("a:1"))
            timeouts.record_failure("a:1")
        self.assertEqual(seen, sorted(seen))
        self.assertEqual(seen[-1], MAX_TIMEOUT_S)
        self.assertEqual(timeouts.next_timeout_s("b:1"), FIRST_TIMEOUT_S)

    def test_success_resets_the_timeout(self):
        timeouts = ConnectTimeouts()
        timeouts.record_failure("a:1")
        timeouts.record_success("a:1")
        self.assertEqual(timeouts.next_timeout_s("a:1"), FIRST_TIMEOUT_S)

    def test_connecting_to_an_unresponsive_peer_times_out(self):
        """A listener with a full backlog drops new connections, as if their packets were lost."""
        with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for client in (first, second):
                client.setblocking(False)
                client.connect_ex(listener.getsockname())
            ip, port = listener.getsockname()
            began = time.monotonic()
            with self.assertRaises(ConnectError):
                asyncio.run(connect_stream(f"{ip}:{port}", "", FIRST_TIMEOUT_S))
            self.assertLess(time.monotonic() - began, 5.0)
