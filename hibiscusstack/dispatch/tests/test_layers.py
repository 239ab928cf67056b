"""Tests that each layer of the decision code imports only the layers before it."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

PACKAGE = "hibiscusstack.dispatch"
ROOT = Path(__file__).parents[1]
SHARED = "shared types"
ENTRY_POINT = "engine"
SUBPACKAGES = (
    "submission",
    "configuration",
    "policy",
    "observation",
    "queueing",
    "planning",
    "homes",
    "owners",
)
LAYERS = (SHARED, *SUBPACKAGES, ENTRY_POINT)


def path_parts(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return parts[:-1] if parts[-1] == "__init__" else parts


MODULES = {
    parts: path.read_text()
    for path in sorted(ROOT.rglob("*.py"))
    if (parts := path_parts(path)) and "tests" not in parts
}


def names_imported(source, package):
    """Yield each dotted name to which an import in the source may refer."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = package.split(".")
            base = base[: len(base) - node.level + 1] if node.level else []
            origin = ".".join([*base, *filter(None, [node.module])])
            yield from (f"{origin}.{alias.name}" for alias in node.names)


def imports_of(source, parts=(ENTRY_POINT,)):
    """Return the modules of the package that one of its modules imports."""
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


def layer_of(parts):
    """Return the layer of a module: a subpackage, the entry point or shared types."""
    if parts and parts[0] in SUBPACKAGES:
        return parts[0]
    return ENTRY_POINT if parts == (ENTRY_POINT,) else SHARED


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
def test_each_form_of_import_is_found(source):
    assert ("policy", "text") in imports_of(source)


def test_import_from_the_parent_package_is_found():
    source = "from ..policy.text import read_policy"
    assert imports_of(source, ("homes", "home")) == {("policy", "text")}


def test_every_subpackage_is_a_layer():
    folders = {path.parent.name for path in ROOT.glob("*/__init__.py")} - {"tests"}
    assert folders == set(SUBPACKAGES)


@pytest.mark.parametrize("subpackage", SUBPACKAGES)
def test_init_of_a_layer_is_a_one_line_docstring(subpackage):
    body = ast.parse(MODULES[(subpackage,)])
    assert len(body.body) == 1
    assert len((ast.get_docstring(body) or "\n").splitlines()) == 1


@pytest.mark.parametrize("layer", LAYERS)
def test_layer_imports_only_itself_and_earlier_layers(layer):
    allowed = set(LAYERS[: LAYERS.index(layer) + 1])
    modules = [parts for parts in MODULES if layer_of(parts) == layer]
    assert modules
    wrong = {
        (".".join(parts), ".".join(imported))
        for parts in modules
        for imported in imports_of(MODULES[parts], parts)
        if layer_of(imported) not in allowed
    }
    assert wrong == set()


def test_imports_have_no_cycles():
    graph = {parts: imports_of(source, parts) for parts, source in MODULES.items()}
    assert set().union(*graph.values()) <= set(MODULES)
    TopologicalSorter(graph).prepare()
