"""HTML builder that escapes all text except values of type Html."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_VOID_ELEMENTS = frozenset({"input", "link", "meta"})


class Html(str):
    """Text that is already HTML and is not escaped again."""

    __slots__ = ()


def to_html(value: object) -> Html:
    """Return a value as HTML; escape it unless it is Html."""
    return value if isinstance(value, Html) else Html(escape(str(value), quote=True))


def element(name: str, /, *children: object, **attributes: str | bool) -> Html:
    """Return an element; attribute names lose trailing underscores, as `class_`."""
    parts = [f"<{name}"]
    for attribute, value in attributes.items():
        if value is False:
            continue
        html_name = attribute.rstrip("_").replace("_", "-")
        parts.append(
            f" {html_name}" if value is True else f' {html_name}="{to_html(value)}"'
        )
    parts.append(">")
    if name not in _VOID_ELEMENTS:
        parts += [to_html(child) for child in children]
        parts.append(f"</{name}>")
    return Html("".join(parts))


def join(children: Iterable[object], separator: str = "") -> Html:
    """Join values into one piece of HTML."""
    return Html(separator.join(to_html(child) for child in children))


def page(title: str, *body: object) -> bytes:
    """Return a complete HTML page."""
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
