"""The decisions of the dispatcher, free of I/O.

Everything here is driven by a clock and typed messages, so the daemon, the model
checks, the virtual-time tests and the benches run the same code.

:mod:`~hibiscusstack.dispatch.engine` is the way in. The other modules of this folder
are the words that all families share: jobs, answers, messages, effects, loads and
what is known of targets. Each family says in its ``__init__`` what is found there,
and imports only the families before it in the order of ``tests/test_families.py``.
"""
