"""Builds the components of the core role that keep the control state."""

from rooklug.core.control_state_component import ControlStateComponent
from rooklug.core.documents import DocumentChecker
from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.model.settings import CoreSettings


def build_core_components(
    settings: CoreSettings, context: ProcessContext, checker: DocumentChecker | None = None
) -> list[Component]:
    """Return the components; ``checker`` replaces the functions of ``rooklug.config`` in tests."""
    return [ControlStateComponent(settings, context, checker or _default_checker())]


def _default_checker() -> DocumentChecker:
    # Imported here: only cores need the checks of whole documents and what they import.
    from rooklug.config.document_reader import read_configuration
    from rooklug.config.patching import apply_merge_patch

    return DocumentChecker(read_configuration, apply_merge_patch)
