"""Tests that the package stays light."""

import ast
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1]
ALLOWED = (
    "attrs",
    "hibiscusstack.clock",
    "hibiscusstack.http",
    "twisted.internet",
    "twisted.python.failure",
    "zope.interface",
)


def imports_of(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module)
    return names


def is_light(name: str) -> bool:
    if name.partition(".")[0] in sys.stdlib_module_names:
        return name != "ssl"
    return any(name == prefix or name.startswith(f"{prefix}.") for prefix in ALLOWED)


@pytest.mark.parametrize("path", sorted(PACKAGE.glob("*.py")), ids=lambda p: p.stem)
def test_module_imports_only_what_is_light(path):
    assert [name for name in imports_of(path) if not is_light(name)] == []
