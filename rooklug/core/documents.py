"""Checks submitted documents; stateless, since it runs outside the event loop."""

from collections.abc import Callable
from typing import Any

import attrs
from expression import Result

from rooklug.model.constants import MAX_DOCUMENT_BYTES

ReadConfiguration = Callable[[bytes], Result[Any, Any]]
ApplyMergePatch = Callable[[bytes, bytes], Result[bytes, Any]]


@attrs.frozen
class CheckTask:
    """A submitted body; ``base_document`` is set if the body is a patch of that document."""

    body: bytes
    base_document: bytes | None


@attrs.frozen
class CheckOutcome:
    """The document to commit, or all problems found, each with its path in the document."""

    document: bytes = b""
    problems: tuple[str, ...] = ()


@attrs.frozen
class DocumentChecker:
    """Checks documents with functions of ``rooklug.config``, injected so tests can replace them."""

    read_configuration: ReadConfiguration
    apply_merge_patch: ApplyMergePatch

    def check(self, task: CheckTask) -> CheckOutcome:
        """Apply the body to its base if it is a patch, and check the resulting document."""
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
