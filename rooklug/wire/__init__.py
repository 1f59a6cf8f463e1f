"""The internal protocol: thrift structs in length-prefixed frames.

The entry point is ``frames.py``; ``codec.py`` encodes single structs, also for stored data.
``generated`` holds the structs that ``scripts/generate`` makes from ``idl/``. Each frame carries
the name of its struct, so struct names and field numbers must not change. May not import any
other package of rooklug.
"""
