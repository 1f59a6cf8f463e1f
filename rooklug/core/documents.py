"""Checks submitted documents, outside the event loop and without state."""

from collections.abc import Callable
from typing import Any

import attrs
from expression import Result

from rooklug.model.constants import MAX_DOCUMENT_BYTES

ReadConfiguration = Callable[[bytes], Result[Any, Any]]
ApplyMergePatch = Callable[[bytes, bytes], Result[bytes, Any]]


@attrs.frozen
class CheckTask:
    """A submitted body; a patch comes with the document it is based on."""

    body: bytes
    base_document: bytes | None


@attrs.frozen
class CheckOutcome:
    """The resulting document, or every problem with its path."""

    document: bytes = b""
    problems: tuple[str, ...] = ()


@attrs.frozen
class DocumentChecker:
    """Checks by the functions of ``rooklug.config``, given so that tests can replace them."""

    read_configuration: ReadConfiguration
    apply_merge_patch: ApplyMergePatch

    def check(self, task: CheckTask) -> CheckOutcome:
        """Apply a patch if it is one, and check the resulting document."""
        if len(task.body) > MAX_DOCUMENT_BYTES:
            return _too_large()
        document = task.body
        if task.base_document is not None:
            patched = self.apply_merge_patch(task.base_document or b"{}", task.body)
            if patched.is_error():
                return CheckOutcome(problems=_lines(patched.error))
            document = patched.ok
        if len(document) > MAX_DOCUMENT_BYTES:
            return _too_large()
        configuration = self.read_configuration(document)
        if configuration.is_error():
            return CheckOutcome(problems=_lines(configuration.error))
        return CheckOutcome(document)


def _too_large() -> CheckOutcome:
    return CheckOutcome(problems=(f"$: the document is larger than {MAX_DOCUMENT_BYTES} bytes",))


def _lines(problems: Any) -> tuple[str, ...]:
    return tuple(f"{problem.path}: {problem.message}" for problem in problems)
