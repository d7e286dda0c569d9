"""Reading of INI settings into a typed structure, with every error at once."""

from __future__ import annotations

import configparser
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from returns.result import Failure, Success

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from returns.result import Result

Value = TypeVar("Value")

# configparser copies the options of its default section into every other one. A name
# that no file can hold makes [DEFAULT] an ordinary, and so an unknown, section.
_NO_DEFAULT_SECTION = "\n"


@dataclass(frozen=True, slots=True)
class SettingError:
    """Say which option of which section is wrong and what is allowed."""

    section: str
    option: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return (
            f"[{self.section}] {self.option}: {self.problem}; allowed: {self.allowed}"
        )


@dataclass(frozen=True, slots=True)
class Option(Generic[Value]):
    """Describe one option: how to parse it, what is allowed and its default."""

    section: str
    name: str
    parse: Callable[[str], Value]
    allowed: str
    # The text used when the option is absent; None makes the option required.
    default: str | None = None
    help: str = ""
    # The value in the example file, where a required option needs one.
    example: str = ""
    # The value never appears in an error, which ends up in logs.
    is_secret: bool = False


def read(
    text: str, options: Mapping[str, Option[Any]]
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    """Parse INI text and return the value of every option by field name."""
    parser, errors = _parse(text)
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
    """Return the error that an option has a problem."""
    return SettingError(option.section, option.name, problem, option.allowed)


def _parse(text: str) -> tuple[configparser.RawConfigParser, list[SettingError]]:
    parser = _parser(strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        errors = [SettingError("-", "-", _one_line(error), "INI syntax")]
    else:
        return parser, []
    # A second, lenient reading finds the errors behind a duplicate.
    lenient = _parser(strict=False)
    try:
        lenient.read_string(text)
    except configparser.Error:
        pass
    return lenient, errors


def _parser(*, strict: bool) -> configparser.RawConfigParser:
    return configparser.RawConfigParser(
        strict=strict, default_section=_NO_DEFAULT_SECTION
    )


def _one_line(error: configparser.Error) -> str:
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
