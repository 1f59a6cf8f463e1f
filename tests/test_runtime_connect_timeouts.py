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


class Deadlines(unittest.TestCase):
    def test_a_first_try_ends_before_the_kernel_sends_again(self):
        self.assertLess(ConnectTimeouts().next("a:1"), 0.5)

    def test_each_failed_try_gives_the_next_one_more_time(self):
        deadlines = ConnectTimeouts()
        seen = []
        for _ in range(6):
            seen.append(deadlines.next("a:1"))
            deadlines.failed("a:1")
        self.assertEqual(seen, sorted(seen))
        self.assertEqual(seen[-1], MAX_TIMEOUT_S)
        self.assertEqual(deadlines.next("b:1"), FIRST_TIMEOUT_S)

    def test_a_connection_begins_anew(self):
        deadlines = ConnectTimeouts()
        deadlines.failed("a:1")
        deadlines.connected("a:1")
        self.assertEqual(deadlines.next("a:1"), FIRST_TIMEOUT_S)

    def test_a_peer_that_does_not_answer_is_given_up_in_time(self):
        """A listener with a full queue takes no more connections, as if packets were lost."""
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
