"""The ``rooklug`` program: daemons (``daemon.py``), ``ctl`` and ``runbook``.

Begin with ``main.py``; ``compose.py`` shows which components make up a core, a front and a
controller.

May import every package.
"""
