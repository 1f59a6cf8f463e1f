"""Processes of a fleet: start, kill, freeze, and what became of them."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs

KILL_WAIT_S = 10.0
STOP_WAIT_S = 10.0


@attrs.define(eq=False)
class ManagedProcess:
    """One process and how to start it again. Its output is appended to ``log_file``."""

    name: str
    arguments: list[str]
    log_file: Path
    process: subprocess.Popen | None = None
    starts: int = 0
    frozen: bool = False

    @property
    def running(self) -> bool:
        """Whether the process lives (a frozen one does)."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, None while it runs or before its first start."""
        return None if self.process is None else self.process.poll()

    def start(self) -> None:
        """Start it, in a session of its own so that terminal signals don't reach it."""
        self.starts += 1
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=_environment(),
                start_new_session=True,
            )

    def kill(self) -> None:
        """Kill it (SIGKILL) and wait until it is gone."""
        if self.running:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(KILL_WAIT_S)
        self.frozen = False

    def terminate(self) -> None:
        """Ask it to stop (SIGTERM)."""
        if self.running:
            self.thaw()
            self.process.send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop it in its tracks (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Let it go on (SIGCONT)."""
        if self.frozen:
            self.process.send_signal(signal.SIGCONT)
            self.frozen = False

    def wait_stopped(self) -> None:
        """Wait for the end; kill it if that takes too long."""
        if self.process is None:
            return
        try:
            self.process.wait(STOP_WAIT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_tail(self, lines: int = 5) -> str:
        """Return the last lines of the log."""
        if not self.log_file.exists():
            return ""
        return "\n".join(self.log_file.read_text(errors="replace").splitlines()[-lines:])


def _environment() -> dict[str, str]:
    root = str(Path(__file__).resolve().parents[2])
    paths = [root, os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in paths if path)}
