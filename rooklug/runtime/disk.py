"""The disk thread: executes writes in order, with one sync for all queued writes (group commit)."""

import asyncio
import queue
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

from rooklug.engine.effects import RewriteFile, WriteRecords
from rooklug.engine.events import Event, WriteFailed, WriteFinished
from rooklug.storage.folder import DataFolder

_NO_FOLDER = "this process has no data folder"


@attrs.frozen(eq=False)
class _WriteJob:
    effect: WriteRecords | RewriteFile
    submitted_at: float


class Disk:
    """Executes ``WriteRecords`` and ``RewriteFile`` on a thread, so the event loop never blocks.

    With ``memory_only``, writes are acknowledged immediately and nothing is stored. With neither
    a folder nor ``memory_only``, each write fails.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: DataFolder | None,
        deliver: Callable[[Event], None],
        *,
        memory_only: bool = False,
    ) -> None:
        self._memory_only = memory_only
        self._loop = loop
        self._folder = folder
        self._deliver = deliver
        self._jobs: queue.SimpleQueue[_WriteJob | None] = queue.SimpleQueue()
        self._closed: asyncio.Future = loop.create_future()
        self._thread = threading.Thread(target=self._run, args=(folder,), name="disk", daemon=True)
        if folder is not None:
            self._thread.start()

    def submit(self, effect: WriteRecords | RewriteFile) -> None:
        """Queue a write; delivers ``WriteFinished`` once it is synced, else ``WriteFailed``."""
        if self._memory_only:
            self._deliver(WriteFinished(effect.ticket, 0.0))
            return
        if self._folder is None:
            self._deliver(WriteFailed(effect.ticket, _NO_FOLDER))
            return
        self._jobs.put(_WriteJob(effect, time.monotonic()))

    def close(self) -> None:
        """Let the disk thread finish the queued writes and close the folder; returns at once."""
        if self._folder is None:
            self._closed.set_result(None)
        else:
            self._jobs.put(None)

    async def wait_closed(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` seconds for the folder to close; return whether it did."""
        done, _ = await asyncio.wait([self._closed], timeout=timeout_s)
        return bool(done)

    def _run(self, folder: DataFolder) -> None:
        while True:
            jobs = self._queued_jobs()
            self._execute(folder, [job for job in jobs if job is not None])
            if None in jobs:
                folder.close()
                self._call_in_loop(self._closed.set_result, None)
                return

    def _queued_jobs(self) -> list[_WriteJob | None]:
        jobs = [self._jobs.get()]
        while not self._jobs.empty():
            jobs.append(self._jobs.get())
        return jobs

    def _execute(self, folder: DataFolder, jobs: list[_WriteJob]) -> None:
        """Execute the jobs in order and sync each appended file once, at the end.

        A rewrite first syncs the earlier appends to its file, so that they are reported in order.
        """
        appended: dict[str, list[_WriteJob]] = {}
        for job in jobs:
            file = job.effect.file
            if isinstance(job.effect, RewriteFile):
                self._sync(folder, file, appended.pop(file, []))
                self._rewrite(folder, job)
            elif self._append(folder, job):
                appended.setdefault(file, []).append(job)
        for file, file_jobs in appended.items():
            self._sync(folder, file, file_jobs)

    def _append(self, folder: DataFolder, job: _WriteJob) -> bool:
        try:
            folder.append(job.effect.file, job.effect.records)
        except OSError as problem:
            self._report(WriteFailed(job.effect.ticket, str(problem)))
            return False
        return True

    def _rewrite(self, folder: DataFolder, job: _WriteJob) -> None:
        try:
            folder.rewrite(job.effect.file, job.effect.records)
        except OSError as problem:
            self._report(WriteFailed(job.effect.ticket, str(problem)))
            return
        self._report_finished(job)

    def _sync(self, folder: DataFolder, file: str, jobs: list[_WriteJob]) -> None:
        if not jobs:
            return
        try:
            folder.sync(file)
        except OSError as problem:
            for job in jobs:
                self._report(WriteFailed(job.effect.ticket, str(problem)))
            return
        for job in jobs:
            self._report_finished(job)

    def _report_finished(self, job: _WriteJob) -> None:
        elapsed_s = time.monotonic() - job.submitted_at
        self._report(WriteFinished(job.effect.ticket, elapsed_s))

    def _report(self, event: Event) -> None:
        self._call_in_loop(self._deliver, event)

    def _call_in_loop(self, callback: Callable[[Any], None], argument: Any) -> None:
        try:
            self._loop.call_soon_threadsafe(callback, argument)
        except RuntimeError:  # the event loop is closed: no one is left to receive the report
            return
