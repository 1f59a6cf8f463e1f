"""The internal protocol: thrift structs in length-prefixed frames.

Begin with ``frames.py``. ``generated`` holds the structs made from ``idl/`` by
``scripts/generate``. The name of a struct travels in each frame, so structs keep their names and
field numbers. May import nothing else of rooklug.
"""
