"""Decision logic of the dispatcher, without I/O.

Everything here is driven by a clock and typed messages, so the daemon, the model
checks, the virtual-time tests and the benches run the same code.

The entry point is :mod:`~hibiscusstack.dispatch.engine`. The other modules of this
package define the types that all subpackages share: jobs, answers, messages, effects,
loads and targets. Each subpackage is a layer, described in its ``__init__``. It
imports only the layers before it in the order of ``tests/test_layers.py``.
"""
