"""Values that several packages share: settings, topics, versions, internal events, constants.

May import ``engine`` and the generated structs of ``wire``.
"""
