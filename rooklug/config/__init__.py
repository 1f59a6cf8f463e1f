"""The operators' configuration document: its types, strict reader, checks and merge patches.

Entry points: ``document_reader.py`` (bytes to a ``Configuration`` or a list of problems) and
``patching.py`` (RFC 7396).

May import ``model``.
"""
