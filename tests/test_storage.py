"""Record files and data folders: damaged bytes, truncated files, crashes, failed writes."""

import os
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.storage.folder import PROBLEM_BLANK, PROBLEM_DAMAGED, BrokenFileError, open_folder
from rooklug.storage.records import HEADER_BYTES, encode_record, encode_records, read_records

PAYLOADS = (b"first", b"", b"\0" * 9, bytes(range(256)), b"last")


class RecordsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=100)))
    def test_round_trip(self, payloads: list[bytes]) -> None:
        result = read_records(encode_records(payloads)).ok
        self.assertEqual((result.payloads, result.torn_bytes), (tuple(payloads), 0))

    def test_truncation_at_any_byte_keeps_the_complete_records(self) -> None:
        data = encode_records(PAYLOADS)
        ends = [len(encode_records(PAYLOADS[:count])) for count in range(len(PAYLOADS) + 1)]
        for length in range(len(data) + 1):
            result = read_records(data[:length]).ok
            whole = sum(end <= length for end in ends) - 1
            self.assertEqual(result.payloads, PAYLOADS[:whole])
            self.assertEqual(
                (result.valid_bytes, result.torn_bytes + ends[whole]), (ends[whole], length)
            )

    def test_any_wrong_byte_is_damage_and_skips_no_record(self) -> None:
        data = encode_records(PAYLOADS)
        last_start = len(data) - len(encode_record(PAYLOADS[-1]))
        for offset in range(len(data)):
            for change in (0x01, 0x80, 0xFF):
                damaged = bytearray(data)
                damaged[offset] ^= change
                result = read_records(bytes(damaged))
                if last_start <= offset < last_start + 4 and result.is_ok():
                    # A damaged length of the last record can't be distinguished from a torn tail.
                    self.assertEqual(result.ok.payloads, PAYLOADS[:-1])
                else:
                    self.assertTrue(result.is_error(), f"byte {offset} ^ {change}")

    def test_a_tail_that_was_never_written_is_torn(self) -> None:
        whole = encode_records(PAYLOADS[:2])
        torn = encode_record(b"x" * 2000)
        for written in range(0, len(torn) - 1024, 100):
            tail = torn[:written] + bytes(len(torn) - written)
            self.assertEqual(read_records(whole + tail).ok.payloads, PAYLOADS[:2])

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bytes_raise_no_exception(self, data: bytes) -> None:
        result = read_records(data)
        self.assertTrue(result.is_error() or result.ok.valid_bytes <= len(data))

    def test_header_size(self) -> None:
        self.assertEqual(HEADER_BYTES, 8)


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.lists(st.binary(max_size=40), max_size=4)),
        st.tuples(st.just("sync"), st.none()),
        st.tuples(st.just("rewrite"), st.lists(st.binary(max_size=40), max_size=4)),
        st.tuples(st.just("crash"), st.floats(0.0, 1.0)),
    ),
    max_size=12,
)


class FolderAgainstOracleTest(unittest.TestCase):
    """After a crash the file has all synced records, then a prefix of the unsynced ones."""

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(OPERATIONS)
    def test_crashes(self, operations: list[tuple]) -> None:
        with tempfile.TemporaryDirectory() as path, self.no_real_sync():
            folder, _ = open_folder(path, "core-1").ok
            synced: list[bytes] = []
            unsynced: list[bytes] = []
            for operation, value in [*operations, ("crash", 0.5)]:
                if operation == "append":
                    folder.append("log", value)
                    unsynced += value
                elif operation == "sync":
                    folder.sync("log")
                    synced, unsynced = synced + unsynced, []
                elif operation == "rewrite":
                    folder.rewrite("log", value)
                    synced, unsynced = list(value), []
                else:
                    folder.close()
                    self.crash(Path(path) / "log.records", synced, unsynced, value)
                    folder, contents = open_folder(path, "core-1").ok
                    found = list(contents.records.get("log", ()))
                    self.assertEqual(contents.problem.startswith(PROBLEM_DAMAGED), False)
                    self.assertEqual(found[: len(synced)], synced)
                    self.assertEqual(found, (synced + unsynced)[: len(found)])
                    synced, unsynced = found, []
            folder.close()

    @contextmanager
    def no_real_sync(self) -> Iterator[None]:
        with mock.patch("os.fsync"), mock.patch("os.fdatasync"):
            yield

    def crash(self, file: Path, synced: list, unsynced: list, kept_share: float) -> None:
        """Truncate the file: ``kept_share`` of the unsynced bytes remain."""
        if file.exists():
            tail = encode_records(unsynced)
            kept = len(encode_records(synced)) + int(len(tail) * kept_share)
            file.write_bytes(file.read_bytes()[:kept])


class FolderTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = str(Path(temporary.name) / "data")

    def opened(self, node_id: str = "core-1") -> tuple:
        folder, contents = open_folder(self.path, node_id).ok
        self.addCleanup(self._close, folder)
        return folder, contents

    def _close(self, folder: object) -> None:
        try:
            folder.close()
        except OSError:
            return

    def test_identity_is_generated_once(self) -> None:
        folder, first = self.opened()
        folder.close()
        _, second = self.opened()
        self.assertTrue(first.problem.startswith(PROBLEM_BLANK))
        self.assertEqual((second.disk_identity, second.problem), (first.disk_identity, ""))

    def test_a_lost_disk_has_a_new_identity(self) -> None:
        folder, first = self.opened()
        folder.close()
        for path in Path(self.path).iterdir():
            path.unlink()
        self.assertNotEqual(self.opened()[1].disk_identity, first.disk_identity)

    def test_the_folder_of_another_node_is_rejected(self) -> None:
        self.opened()[0].close()
        self.assertIn("belongs to node 'core-1'", open_folder(self.path, "core-2").error.message)

    def test_a_folder_in_use_is_rejected(self) -> None:
        self.opened()
        self.assertIn("in use", open_folder(self.path, "core-1").error.message)

    def test_a_truncated_or_missing_identity_is_rejected(self) -> None:
        self.opened()[0].close()
        file = Path(self.path) / "identity.json"
        content = file.read_bytes()
        for length in range(len(content)):
            file.write_bytes(content[:length])
            self.assertTrue(open_folder(self.path, "core-1").is_error())
        file.unlink()
        (Path(self.path) / "log.records").touch()
        self.assertIn("no identity", open_folder(self.path, "core-1").error.message)

    def test_a_path_that_is_not_a_folder_is_rejected(self) -> None:
        Path(self.path).write_text("a file")
        self.assertTrue(open_folder(self.path, "core-1").is_error())

    def test_torn_tail_is_truncated_and_appends_continue(self) -> None:
        folder, _ = self.opened()
        folder.append("log", [b"a", b"b"])
        folder.close()
        file = Path(self.path) / "log.records"
        file.write_bytes(file.read_bytes() + b"\0\0\0\x09abc")
        folder, contents = self.opened()
        self.assertEqual((contents.records["log"], contents.problem), ((b"a", b"b"), ""))
        folder.append("log", [b"c"])
        folder.close()
        self.assertEqual(self.opened()[1].records["log"], (b"a", b"b", b"c"))

    def test_damaged_file_rejects_appends_until_rewritten(self) -> None:
        folder, _ = self.opened()
        folder.append("log", [b"first", b"second"])
        folder.append("other", [b"x"])
        folder.close()
        file = Path(self.path) / "log.records"
        file.write_bytes(file.read_bytes().replace(b"first", b"fXrst"))
        folder, contents = self.opened()
        self.assertTrue(contents.problem.startswith(PROBLEM_DAMAGED))
        self.assertEqual(contents.records, {"other": (b"x",)})
        with self.assertRaises(BrokenFileError):
            folder.append("log", [b"third"])
        folder.rewrite("log", [b"new"])
        folder.append("log", [b"third"])
        folder.close()
        self.assertEqual(self.opened()[1].records["log"], (b"new", b"third"))

    def test_full_disk_keeps_the_earlier_records(self) -> None:
        folder, _ = self.opened()
        folder.append("log", [b"a"])
        real_write = os.write

        def write_partly_then_fail(descriptor: int, data: bytes) -> int:
            if len(data) < 10:
                raise OSError(28, "No space left on device")
            return real_write(descriptor, data[: len(data) - 5])

        with mock.patch("os.write", write_partly_then_fail), self.assertRaises(OSError):
            folder.append("log", [b"long enough"])
        folder.append("log", [b"b"])
        folder.close()
        self.assertEqual(self.opened()[1].records["log"], (b"a", b"b"))

    def test_appends_are_rejected_after_a_failed_sync_until_rewritten(self) -> None:
        folder, _ = self.opened()
        folder.append("log", [b"a"])
        with mock.patch("os.fdatasync", side_effect=OSError(5, "EIO")), self.assertRaises(OSError):
            folder.sync("log")
        with self.assertRaises(BrokenFileError):
            folder.append("log", [b"b"])
        folder.rewrite("log", [b"a", b"b"])
        folder.append("log", [b"c"])

    def test_failed_rewrite_keeps_the_old_content(self) -> None:
        folder, _ = self.opened()
        folder.append("log", [b"old"])
        with mock.patch("os.replace", side_effect=OSError(5, "EIO")), self.assertRaises(OSError):
            folder.rewrite("log", [b"new"])
        folder.close()
        self.assertEqual(self.opened()[1].records["log"], (b"old",))

    def test_file_names_outside_the_folder_are_rejected(self) -> None:
        folder, _ = self.opened()
        for name in ("../x", "", "a/b", ".hidden"):
            with self.assertRaises(OSError):
                folder.append(name, [b""])
