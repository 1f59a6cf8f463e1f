"""A node's data folder: its identity, its lock, and its record files.

All functions block; the runtime calls them from a separate thread. An append is durable only
once its file has been synced.
"""

import fcntl
import json
import os
import re
from collections.abc import Iterable
from pathlib import Path

import attrs
from expression import Error, Ok, Result

from rooklug.storage.records import encode_records, read_records

IDENTITY_FILE = "identity.json"
LOCK_FILE = "lock"
RECORDS_SUFFIX = ".records"
_TEMPORARY_SUFFIX = ".new"
_IDENTITY_BYTES = 16
_FILE_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]*")

PROBLEM_BLANK = "blank"
"""Prefix of ``FolderContents.problem`` if the folder was created at this start."""
PROBLEM_DAMAGED = "damaged"
"""Prefix of ``FolderContents.problem`` if files of the folder are damaged."""


@attrs.frozen
class FolderError:
    """The folder can't be used, e.g. it belongs to another node or is in use."""

    message: str


class BrokenFileError(OSError):
    """An earlier failure left the file in an unknown state; only a rewrite repairs it."""


@attrs.frozen
class FolderContents:
    """The contents of an opened folder.

    Attributes
    ----------
    disk_identity
        32 random hexadecimal digits, generated when the folder was created.
    problem
        Starts with ``PROBLEM_BLANK`` or ``PROBLEM_DAMAGED``; "" if there is no problem.
    records
        Payloads by file name. A damaged file is omitted and rejects appends until it is
        rewritten; a copy of its bytes is kept next to it with the suffix ``.damaged``.
    """

    disk_identity: str
    problem: str
    records: dict[str, tuple[bytes, ...]]


@attrs.define(eq=False)
class _OpenFile:
    descriptor: int
    length: int
    broken: str = ""


class DataFolder:
    """An opened data folder, locked against other processes until ``close``."""

    def __init__(self, path: Path, lock: int) -> None:
        self._path = path
        self._lock = lock
        self._files: dict[str, _OpenFile] = {}

    def append(self, name: str, payloads: Iterable[bytes]) -> None:
        """Append records without syncing them.

        Raises
        ------
        OSError
            Nothing was appended. ``BrokenFileError`` if the file has to be rewritten first.
        """
        file = self._open(name)
        if file.broken:
            raise BrokenFileError(file.broken)
        data = encode_records(payloads)
        try:
            _write_all(file.descriptor, data)
        except OSError as problem:
            self._undo_append(file, problem)
            raise
        file.length += len(data)

    def sync(self, name: str) -> None:
        """Sync a file's appends.

        Raises
        ------
        OSError
            The appends may or may not be durable; the file is broken until it is rewritten.
        """
        file = self._open(name)
        try:
            os.fdatasync(file.descriptor)
        except OSError as problem:
            file.broken = f"an earlier sync failed: {problem}"
            raise

    def rewrite(self, name: str, payloads: Iterable[bytes]) -> None:
        """Replace a file atomically: write and sync a temporary file, rename it, sync the folder.

        Raises
        ------
        OSError
            The file has either its old or its new content.
        """
        target = self._file_path(name)
        _replace_file(target, encode_records(payloads))
        old = self._files.pop(name, None)
        if old is not None:
            os.close(old.descriptor)

    def close(self) -> None:
        """Close every file and release the lock."""
        for file in self._files.values():
            os.close(file.descriptor)
        self._files.clear()
        os.close(self._lock)

    def load(self) -> tuple[dict[str, tuple[bytes, ...]], list[str]]:
        """Read every record file and truncate torn tails; also return a text per damaged file."""
        records = {}
        damages = []
        for path in sorted(self._path.glob(f"*{RECORDS_SUFFIX}")):
            name = path.name.removesuffix(RECORDS_SUFFIX)
            result = read_records(path.read_bytes())
            if result.is_ok():
                records[name] = result.ok.payloads
                if result.ok.torn_bytes:
                    self._truncate(name, result.ok.valid_bytes)
            else:
                damages.append(f"{path.name}: {result.error.message}")
                self._open(name).broken = result.error.message
                _preserve_damaged(path)
        return records, damages

    def _file_path(self, name: str) -> Path:
        if not _FILE_NAME.fullmatch(name):
            raise OSError(f"{name!r} is not a valid name of a record file")
        return self._path / f"{name}{RECORDS_SUFFIX}"

    def _open(self, name: str) -> _OpenFile:
        if name not in self._files:
            path = self._file_path(name)
            is_new = not path.exists()
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            self._files[name] = _OpenFile(descriptor, os.fstat(descriptor).st_size)
            if is_new:
                _sync_folder(self._path)
        return self._files[name]

    def _truncate(self, name: str, length: int) -> None:
        file = self._open(name)
        os.ftruncate(file.descriptor, length)
        os.fsync(file.descriptor)
        file.length = length

    def _undo_append(self, file: _OpenFile, cause: OSError) -> None:
        try:
            os.ftruncate(file.descriptor, file.length)
        except OSError as problem:
            file.broken = (
                f"an earlier append failed ({cause}) and could not be reverted ({problem})"
            )


def open_folder(path: str, node_id: str) -> Result[tuple[DataFolder, FolderContents], FolderError]:
    """Open and lock a node's data folder; it is created if it doesn't exist."""
    folder = Path(path)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as problem:
        return Error(FolderError(f"data folder {path}: {problem}"))
    try:
        return _open_locked(folder, node_id, lock).map_error(lambda error: _closing(lock, error))
    except OSError as problem:
        return Error(_closing(lock, FolderError(f"data folder {path}: {problem}")))


def _open_locked(
    folder: Path, node_id: str, lock: int
) -> Result[tuple[DataFolder, FolderContents], FolderError]:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return Error(FolderError(f"data folder {folder} is in use by another process"))
    identity = _identity(folder, node_id)
    if identity.is_error():
        return Error(identity.error)
    disk_identity, is_new = identity.ok
    data_folder = DataFolder(folder, lock)
    records, damages = data_folder.load()
    problem = f"{PROBLEM_BLANK}: the data folder was created at this start" if is_new else ""
    if damages:
        problem = f"{PROBLEM_DAMAGED}: {'; '.join(damages)}"
    return Ok((data_folder, FolderContents(disk_identity, problem, records)))


def _identity(folder: Path, node_id: str) -> Result[tuple[str, bool], FolderError]:
    path = folder / IDENTITY_FILE
    if path.exists():
        return _read_identity(path, node_id).map(lambda identity: (identity, False))
    if any(folder.glob(f"*{RECORDS_SUFFIX}")):
        return Error(FolderError(f"data folder {folder} has record files but no {IDENTITY_FILE}"))
    identity = os.urandom(_IDENTITY_BYTES).hex()
    content = {"node_id": node_id, "disk_identity": identity}
    _replace_file(path, json.dumps(content).encode())
    return Ok((identity, True))


def _read_identity(path: Path, node_id: str) -> Result[str, FolderError]:
    try:
        content = json.loads(path.read_bytes())
        owner, identity = content["node_id"], content["disk_identity"]
    except (ValueError, KeyError, TypeError):
        return Error(FolderError(f"{path} is damaged"))
    if not re.fullmatch(r"[0-9a-f]{32}", str(identity)):
        return Error(FolderError(f"{path} is damaged"))
    if owner != node_id:
        return Error(FolderError(f"{path.parent} belongs to node {owner!r}, not to {node_id!r}"))
    return Ok(identity)


def _closing(descriptor: int, error: FolderError) -> FolderError:
    os.close(descriptor)
    return error


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _replace_file(target: Path, data: bytes) -> None:
    temporary = target.with_name(target.name + _TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, target)
    _sync_folder(target.parent)


def _preserve_damaged(path: Path) -> None:
    path.with_name(path.name + ".damaged").write_bytes(path.read_bytes())


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
