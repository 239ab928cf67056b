"""Specifications of the core protocols, checked by exhaustive search.

Each module states one protocol as small as its promises allow: a state, the steps
that hosts, targets, operators and faults may take, and the safety properties. Each
rule that makes the protocol safe has a name and can be taken out, and the search
must then find a counterexample.
"""
