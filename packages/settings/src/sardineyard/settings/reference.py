"""Generator of the example settings files and of the settings page."""

from __future__ import annotations

import sys
from textwrap import wrap
from typing import TYPE_CHECKING, Any

from sardineyard.settings.gateway import GATEWAY_OPTIONS, REBALANCER_OPTIONS
from sardineyard.settings.processes import AGENT_OPTIONS, ENTRY_OPTIONS

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from sardineyard.settings.ini import Option

    Options = Mapping[str, Option[Any]]

_INTRODUCTION = """# Settings

Each daemon reads one INI file. An absent required option, an unknown option or a value
that is not allowed stops the start with status 2, and every error is listed at once:
section, option, problem and what is allowed.

    sardineyard entry --settings examples/entry.ini --check
    sardineyard agent --settings examples/agent.ini --check
    sardineyard gateway --settings examples/gateway.ini --check
    sardineyard rebalancer --settings examples/rebalancer.ini --check

Gateway and rebalancer run on the prepared platform, which fills in the templates
`deploy/gateway.ini` and `deploy/rebalancer.ini`.

This page and the files in `examples` are made from the options in
`packages/settings`; `./dev settings` writes them again.
"""


def example_file(options: Options) -> str:
    """Return an example settings file with every option and its help text."""
    lines: list[str] = []
    for section, section_options in _options_by_section(options).items():
        lines.append(f"[{section}]")
        for option in section_options:
            required = option.default is None
            requirement = (
                "Required." if required else f"Default: {option.default or '(none)'}."
            )
            text = f"{option.help} Allowed: {option.allowed}. {requirement}"
            lines.extend(f"# {line}" for line in wrap(text, 78))
            value = option.example or option.default
            lines += [f"{option.name} = {value}", ""]
    return "\n".join(lines)


def settings_page() -> str:
    """Return the settings page in Markdown."""
    blocks = [_INTRODUCTION]
    for title, options in (
        ("Entry", ENTRY_OPTIONS),
        ("Agent", AGENT_OPTIONS),
        ("Gateway", GATEWAY_OPTIONS),
        ("Rebalancer", REBALANCER_OPTIONS),
    ):
        blocks += [f"## {title}\n", *_table(options), ""]
    return "\n".join(blocks)


def _table(options: Options) -> Iterator[str]:
    yield "| section | option | meaning | allowed | default |"
    yield "|---|---|---|---|---|"
    for section, section_options in _options_by_section(options).items():
        for option in section_options:
            default = "required" if option.default is None else option.default or "none"
            yield (
                f"| `{section}` | `{option.name}` | {option.help} "
                f"| {option.allowed} | {default} |"
            )


def _options_by_section(options: Options) -> dict[str, list[Option[Any]]]:
    sections: dict[str, list[Option[Any]]] = {}
    for option in options.values():
        sections.setdefault(option.section, []).append(option)
    return sections


def main() -> None:
    """Write the file that the first argument names to standard output."""
    generators = {
        "entry": lambda: example_file(ENTRY_OPTIONS),
        "agent": lambda: example_file(AGENT_OPTIONS),
        "gateway": lambda: example_file(GATEWAY_OPTIONS),
        "rebalancer": lambda: example_file(REBALANCER_OPTIONS),
        "page": settings_page,
    }
    sys.stdout.write(generators[sys.argv[1]]())


if __name__ == "__main__":
    main()
