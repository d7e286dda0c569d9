"""HTML in which every text is escaped unless it is already HTML."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_VOID = frozenset({"input", "link", "meta"})


class Html(str):
    """Mark text that is HTML; any other text is escaped."""

    __slots__ = ()


def text(value: object) -> Html:
    """Return a value as HTML."""
    return value if isinstance(value, Html) else Html(escape(str(value), quote=True))


def element(name: str, /, *children: object, **attributes: str | bool) -> Html:
    """Return an element; a trailing underscore of an attribute's name is dropped."""
    parts = [f"<{name}"]
    for attribute, value in attributes.items():
        if value is False:
            continue
        label = attribute.rstrip("_").replace("_", "-")
        parts.append(f" {label}" if value is True else f' {label}="{text(value)}"')
    parts.append(">")
    if name not in _VOID:
        parts += [text(child) for child in children]
        parts.append(f"</{name}>")
    return Html("".join(parts))


def join(children: Iterable[object], separator: str = "") -> Html:
    """Return values one after the other."""
    return Html(separator.join(text(child) for child in children))


def page(title: str, *body: object) -> bytes:
    """Return a whole page."""
    head = element(
        "head",
        element("meta", charset="utf-8"),
        element("title", f"{title} - sardineyard"),
        element("link", rel="stylesheet", href="/style.css"),
    )
    content = element("html", head, element("body", *body), lang="en")
    return b"<!DOCTYPE html>\n" + content.encode()


STYLE = b"""body { font: 16px/1.5 sans-serif; margin: 2em auto; max-width: 70em;
  padding: 0 1em; }
nav a { margin-right: 1em; }
table { border-collapse: collapse; }
td, th { border-bottom: 1px solid #ccc; padding: .3em .8em; text-align: left; }
label { display: block; margin-top: 1em; }
label span { display: block; font-weight: bold; }
small { color: #555; display: block; }
input[type=text], textarea, select { font: inherit; width: 30em; }
form.inline { display: inline; }
.errors { border-left: 4px solid #b00; padding-left: 1em; }
code { overflow-wrap: anywhere; }
"""
