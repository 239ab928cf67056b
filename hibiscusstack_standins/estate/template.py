"""Templates of settings, filled in as the platform does."""

__all__ = ["PLACEHOLDER", "fill_in"]

import json
import re
from collections.abc import Mapping
from typing import Any

PLACEHOLDER = re.compile(r"\{\{([a-z_]+(?:\.[a-z0-9_]+)*)\}\}")


def fill_in(template: str, fields: Mapping[str, Any]) -> str:
    """Return a template of plain placeholders with the values of ``fields``.

    >>> fill_in("{{ip}}:{{ports.1}} {{missing}}", {"ip": "a", "ports": [1, 2]})
    'a:2 '
    """

    def value(match: re.Match[str]) -> str:
        found = fields
        for name in match[1].split("."):
            if isinstance(found, list):
                found = found[int(name)] if int(name) < len(found) else None
            else:
                found = (found or {}).get(name)
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(map(str, found))
        return found if isinstance(found, str) else json.dumps(found)

    return PLACEHOLDER.sub(value, template)
