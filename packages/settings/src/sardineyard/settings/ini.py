"""Parser of INI settings that reports all errors of a file together."""

from __future__ import annotations

import configparser
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from returns.result import Failure, Success

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from returns.result import Result

Value = TypeVar("Value")

# configparser copies the options of its default section into every other section. No
# section of a file can have this name, so [DEFAULT] is reported as an unknown section.
_NO_DEFAULT_SECTION = "\n"


@dataclass(frozen=True, slots=True)
class SettingError:
    """Error in one option of a settings file, with the values that are allowed."""

    section: str
    option: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as a single line."""
        return (
            f"[{self.section}] {self.option}: {self.problem}; allowed: {self.allowed}"
        )


@dataclass(frozen=True, slots=True)
class Option(Generic[Value]):
    """Definition of one option: section, name, parser, allowed values and default."""

    section: str
    name: str
    parse: Callable[[str], Value]
    allowed: str
    # Raw text to parse when the option is absent; None makes the option required.
    default: str | None = None
    help: str = ""
    # Value in the example file; required options have no default to show there.
    example: str = ""
    # Keeps the value out of error messages, which are written to logs.
    is_secret: bool = False


def read(
    text: str, options: Mapping[str, Option[Any]]
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    """Parse INI text and return the value of each option by settings field."""
    parser, errors = _parse_ini(text)
    errors += _unknown_options(parser, options)
    values: dict[str, Any] = {}
    for field, option in options.items():
        raw = parser.get(option.section, option.name, fallback=option.default)
        if raw is None:
            errors.append(option_error(option, "required option is missing"))
            continue
        try:
            values[field] = option.parse(raw.strip())
        except ValueError as error:
            shown = "the value" if option.is_secret else repr(raw)
            errors.append(option_error(option, f"{shown} is not valid ({error})"))
    return Failure(tuple(errors)) if errors else Success(values)


def option_error(option: Option[Any], problem: str) -> SettingError:
    """Build the error that reports a problem with an option."""
    return SettingError(option.section, option.name, problem, option.allowed)


def _parse_ini(text: str) -> tuple[configparser.RawConfigParser, list[SettingError]]:
    parser = _new_parser(strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        errors = [SettingError("-", "-", _single_line(error), "INI syntax")]
    else:
        return parser, []
    # The strict parser stops at a duplicate; the lenient one reads the whole file, so
    # that the errors after the duplicate are reported as well.
    lenient = _new_parser(strict=False)
    try:
        lenient.read_string(text)
    except configparser.Error:
        pass
    return lenient, errors


def _new_parser(*, strict: bool) -> configparser.RawConfigParser:
    return configparser.RawConfigParser(
        strict=strict, default_section=_NO_DEFAULT_SECTION
    )


def _single_line(error: configparser.Error) -> str:
    text = " ".join(str(error).split())
    return text.replace("While reading from '<string>' ", "").replace("'<string>'", "")


def _unknown_options(
    parser: configparser.RawConfigParser, options: Mapping[str, Option[Any]]
) -> list[SettingError]:
    known: dict[str, list[str]] = {}
    for option in options.values():
        known.setdefault(option.section, []).append(option.name)
    errors = []
    for section in parser.sections():
        if section not in known:
            allowed = ", ".join(sorted(known))
            errors.append(SettingError(section, "-", "unknown section", allowed))
            continue
        for name in parser.options(section):
            if name not in known[section]:
                allowed = ", ".join(sorted(known[section]))
                errors.append(SettingError(section, name, "unknown option", allowed))
    return errors
