"""Tests that the families of the decision code import one another one way only."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

PACKAGE = "hibiscusstack.dispatch"
ROOT = Path(__file__).parents[1]
SHARED = "shared words"
ENTRY = "engine"
FAMILIES = (
    "submission",
    "configuration",
    "policy",
    "observation",
    "queueing",
    "planning",
    "homes",
    "owners",
)
ORDER = (SHARED, *FAMILIES, ENTRY)


def parts_of(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return parts[:-1] if parts[-1] == "__init__" else parts


MODULES = {
    parts: path.read_text()
    for path in sorted(ROOT.rglob("*.py"))
    if (parts := parts_of(path)) and "tests" not in parts
}


def names_imported(source, package):
    """Yield each dotted name that an import anywhere in the source may mean."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = package.split(".")
            base = base[: len(base) - node.level + 1] if node.level else []
            origin = ".".join([*base, *filter(None, [node.module])])
            yield from (f"{origin}.{alias.name}" for alias in node.names)


def imports_of(source, parts=(ENTRY,)):
    """Return the modules of this package that a module in it imports."""
    is_package = any(other[:-1] == parts for other in MODULES)
    package = ".".join([PACKAGE, *(parts if is_package else parts[:-1])])
    found = set()
    for name in names_imported(source, package):
        if not f"{name}.".startswith(f"{PACKAGE}."):
            continue
        inner = tuple(name.split(".")[PACKAGE.count(".") + 1 :])
        lengths = range(len(inner), 0, -1)
        known = (inner[:length] for length in lengths if inner[:length] in MODULES)
        found.add(next(known, inner))
    return found


def room_of(parts):
    """Return the family of a module, or what a module outside of them counts as."""
    if parts and parts[0] in FAMILIES:
        return parts[0]
    return ENTRY if parts == (ENTRY,) else SHARED


@pytest.mark.parametrize(
    "source",
    [
        "from hibiscusstack.dispatch.policy.text import read_policy",
        "from hibiscusstack.dispatch.policy import text",
        "import hibiscusstack.dispatch.policy.text as reading",
        "from .policy.text import read_policy",
        "from .policy import text",
        "from . import jobs\nif jobs:\n    from .policy import text",
        "def read():\n    from hibiscusstack.dispatch.policy.text import read_policy",
    ],
)
def test_each_form_of_import_is_seen(source):
    assert ("policy", "text") in imports_of(source)


def test_import_from_the_folder_above_is_seen():
    source = "from ..policy.text import read_policy"
    assert imports_of(source, ("homes", "home")) == {("policy", "text")}


def test_every_family_has_its_place_in_the_order():
    folders = {path.parent.name for path in ROOT.glob("*/__init__.py")} - {"tests"}
    assert folders == set(FAMILIES)


@pytest.mark.parametrize("family", FAMILIES)
def test_init_of_a_family_is_one_line_of_text(family):
    body = ast.parse(MODULES[(family,)])
    assert len(body.body) == 1
    assert len((ast.get_docstring(body) or "\n").splitlines()) == 1


@pytest.mark.parametrize("room", ORDER)
def test_imports_go_one_way_between_families(room):
    allowed = set(ORDER[: ORDER.index(room) + 1])
    modules = [parts for parts in MODULES if room_of(parts) == room]
    assert modules
    wrong = {
        (".".join(parts), ".".join(imported))
        for parts in modules
        for imported in imports_of(MODULES[parts], parts)
        if room_of(imported) not in allowed
    }
    assert wrong == set()


def test_no_module_imports_itself_by_way_of_others():
    graph = {parts: imports_of(source, parts) for parts, source in MODULES.items()}
    assert set().union(*graph.values()) <= set(MODULES)
    TopologicalSorter(graph).prepare()
