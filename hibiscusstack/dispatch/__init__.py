"""The decisions of the dispatcher, free of I/O.

Everything here is driven by a clock and typed messages, so the daemon, the model
checks, the virtual-time tests and the benches run the same code.
"""
