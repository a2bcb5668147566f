"""Fills in the platform's settings templates as the platform does."""

from __future__ import annotations

import json
import re

_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def render(text: str, fields: dict) -> str:
    rendered, rest = _render(text, [fields], None)
    assert not rest
    return rendered


def _render(text: str, scopes: list, ends: str | None) -> tuple[str, str]:
    """What stands before the end of the section `ends`, and what follows it."""
    out = []
    while match := _TAG.search(text):
        out.append(text[: match.start()])
        kind, name = match.groups()
        text = text[match.end() :]
        if kind == "/":
            assert name == ends
            return "".join(out), text
        if kind == "":
            out.append(_value(name, scopes))
            continue
        found = _find(name, scopes)
        rest = text
        entries = _entries(found) if kind == "#" else [None] * (not found)
        for position, entry in enumerate(entries):
            inner = {
                ".": entry[1] if entry else None,
                "@": entry[0] if entry else None,
                ",": "," if position + 1 < len(entries) else "",
            }
            rendered, rest = _render(text, [*scopes, inner], name)
            out.append(rendered)
        if not entries:
            rest = _render(text, [*scopes, {}], name)[1]
        text = rest
    return "".join([*out, text]), ""


def _entries(found) -> list:
    if not found:
        return []
    if isinstance(found, dict):
        return list(found.items())
    if isinstance(found, list):
        return list(enumerate(found))
    return [(None, found)]


def _value(name: str, scopes: list) -> str:
    path, _, form = name.partition("|")
    found = _find(path, scopes)
    if form == "json":
        return json.dumps(found)
    return "" if found is None else str(found)


def _find(path: str, scopes: list):
    for scope in reversed(scopes):
        if path in scope:
            return scope[path]
        found = scope
        for name in path.split(".") if path != "." else []:
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name) if isinstance(found, dict) else None
            if found is None:
                break
        else:
            if found is not scope:
                return found
    return None
