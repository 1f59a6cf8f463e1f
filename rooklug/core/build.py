"""Builds the core role's components that maintain the control state."""

from rooklug.core.control_state_component import ControlStateComponent
from rooklug.core.documents import DocumentChecker
from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.model.settings import CoreSettings


def build_core_components(
    settings: CoreSettings, context: ProcessContext, checker: DocumentChecker | None = None
) -> list[Component]:
    """Return the components; tests pass a ``checker`` that replaces ``rooklug.config``."""
    return [ControlStateComponent(settings, context, checker or _default_checker())]


def _default_checker() -> DocumentChecker:
    # Imported lazily: only cores check whole documents, so other roles needn't load these modules.
    from rooklug.config.document_reader import read_configuration
    from rooklug.config.patching import apply_merge_patch

    return DocumentChecker(read_configuration, apply_merge_patch)
