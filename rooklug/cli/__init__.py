"""The ``rooklug`` program: daemons (``daemon.py``), ``ctl`` and ``runbook``.

Entry point: ``main.py``. ``compose.py`` lists the components of a core, a front and a controller.

May import every package.
"""
