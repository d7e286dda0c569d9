"""Parameters of an emulated day, read from an INI file."""

from __future__ import annotations

from configparser import ConfigParser, Error
from dataclasses import dataclass, field, fields
from typing import Any

from sardineyard.forwarding.config import EngineProfile


class DayError(ValueError):
    """Invalid day file; the message lists all errors, one a line."""


@dataclass(frozen=True, slots=True)
class Group:
    """Size and speed of the group; the defaults are an engine of 16 ranks."""

    ranks: int = 16
    # Number of layer sets, and experts of each.
    sets: int = 4
    experts: int = 64
    # Expert slots of one rank, for one layer set.
    places: int = 5
    # Maximum number of experts of one layer set that a rank can load for a new map.
    spare: int = 2
    # Requests that one rank runs concurrently.
    slots: int = 6
    steps_per_pass: int = 4
    step_ms: float = 4.55
    step_ms_per_stream: float = 1.81
    prompt_tokens_per_ms: float = 61.4
    expert_share: float = 0.85
    expert_copy_s: float = 0.111
    # Part of the time to the first event that decode passes and prefill do not cover:
    # network and start of the request at the rank.
    first_event_s: float = 0.06

    def engine(self) -> EngineProfile:
        """Return the engine profile that gateways and rebalancers read."""
        return EngineProfile(
            slots=self.slots,
            steps_per_pass=self.steps_per_pass,
            step_ms=self.step_ms,
            step_ms_per_sequence=self.step_ms_per_stream,
            step_ms_per_context_k=0.0,
            typical_prompt_tokens=0.0,
            typical_output_tokens=0.0,
            layer_sets=self.sets,
            experts=self.experts,
            expert_slots_per_rank=self.places,
            spare_expert_slots=self.spare,
            expert_share=self.expert_share,
            expert_copy_s=self.expert_copy_s,
        )


@dataclass(frozen=True, slots=True)
class Popularity:
    """Distribution of the router's choices over the experts, and its shifts."""

    shift_every_s: float = 4.0
    # Fraction of the choices that a shift moves to other experts.
    shifted_part: float = 0.6
    # Exponent of the Zipf distribution of the choices.
    exponent: float = 1.1
    choices_per_token: float = 40.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of request: arrival rate, targets, size and worth."""

    per_s: float
    priority: int = 0
    target_s: float = 0.5
    target_pause_s: float = 0.12
    deadline_s: float = 8.0
    prompt_tokens: float = 800.0
    events: float = 24.0
    worth: float = 1.0
    late_worth: float = 0.3


@dataclass(frozen=True, slots=True)
class Trouble:
    """Disturbance of a day: a burst, a slow rank, or ranks that take no requests."""

    at_s: float
    for_s: float
    # Factor on the arrival rate of every kind.
    burst: float = 1.0
    # Factor on the step time of rank 0.
    slowdown: float = 1.0
    # Number of ranks that reject all requests, from rank 0 on, and the seconds for
    # which each rejection asks a gateway to send none.
    pausing: int = 0
    pause_s: float = 1.5
    # Number of ranks that announce their leaving, from the last rank on.
    leaving: int = 0

    def is_active_at(self, now: float) -> bool:
        """Return whether the disturbance lasts at a time of the day."""
        return self.at_s <= now < self.at_s + self.for_s


@dataclass(frozen=True, slots=True)
class Day:
    """Parameters of a day; with a seed, they determine its results."""

    length_s: float = 30.0
    gateways: int = 10
    group: Group = field(default_factory=Group)
    popularity: Popularity = field(default_factory=Popularity)
    kinds: dict[str, RequestKind] = field(default_factory=dict)
    troubles: tuple[Trouble, ...] = ()


def read_day(text: str) -> Day:
    """Parse a day file; raise DayError with all errors."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except Error as error:
        raise DayError(str(error)) from None
    errors: list[str] = []
    day_values: dict[str, Any] = {"kinds": {}, "troubles": ()}
    for section in parser.sections():
        area, _, name = section.partition(" ")
        values = dict(parser[section])
        match area:
            case "day":
                day_values |= _parse_values(Day, section, values, errors)
            case "group":
                day_values["group"] = Group(
                    **_parse_values(Group, section, values, errors)
                )
            case "popularity":
                numbers = _parse_values(Popularity, section, values, errors)
                day_values["popularity"] = Popularity(**numbers)
            case "kind" if "per_s" in values:
                numbers = _parse_values(RequestKind, section, values, errors)
                if "per_s" in numbers:
                    day_values["kinds"][name] = RequestKind(**numbers)
            case "trouble" if "at_s" in values and "for_s" in values:
                numbers = _parse_values(Trouble, section, values, errors)
                if "at_s" in numbers and "for_s" in numbers:
                    day_values["troubles"] += (Trouble(**numbers),)
            case _:
                errors.append(
                    f"[{section}]: unknown section, or a required key is missing"
                )
    if not day_values["kinds"]:
        errors.append("no [kind NAME] section: at least one is required")
    if errors:
        raise DayError("\n".join(errors))
    return Day(**day_values)


def _parse_values(
    kind: type, section: str, values: dict[str, str], errors: list[str]
) -> dict[str, Any]:
    """Parse the numbers of a section whose keys are the fields of a dataclass."""
    types = {f.name: f.type for f in fields(kind) if f.type in ("int", "float")}
    numbers: dict[str, Any] = {}
    for name, value in values.items():
        if name not in types:
            errors.append(f"[{section}] {name}: unknown key")
            continue
        try:
            numbers[name] = int(value) if types[name] == "int" else float(value)
        except ValueError:
            errors.append(f"[{section}] {name}: {value!r} is not a number")
            continue
        if not 0 <= numbers[name] < float("inf"):
            errors.append(f"[{section}] {name}: {value!r} is out of range")
    return numbers
