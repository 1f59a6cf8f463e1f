"""A free subnet 127.N.0.0/16 for one fleet, held by a listening socket."""

import socket

FIRST_SUBNET = 20
LAST_SUBNET = 250
_GUARD_PORT = 7999


class NoFreeSubnetError(Exception):
    """Every subnet is held by another fleet."""


class HeldSubnet:
    """A subnet that no other fleet on this machine uses while it is held."""

    def __init__(self) -> None:
        for number in range(FIRST_SUBNET, LAST_SUBNET):
            guard = socket.socket()
            try:
                guard.bind((f"127.{number}.0.1", _GUARD_PORT))
                guard.listen(1)
            except OSError:
                guard.close()
                continue
            self._guard = guard
            self.number = number
            return
        raise NoFreeSubnetError()

    def release(self) -> None:
        """Let others have it."""
        self._guard.close()
