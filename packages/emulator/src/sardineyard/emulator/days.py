"""Days of the emulator, read from INI files."""

from __future__ import annotations

from configparser import ConfigParser, Error
from dataclasses import dataclass, field, fields
from typing import Any

from sardineyard.forwarding.config import EngineProfile


class DayError(ValueError):
    """Report all faults of a day file, one a line."""


@dataclass(frozen=True, slots=True)
class Group:
    """Describe the group; the defaults are an engine of sixteen ranks."""

    ranks: int = 16
    sets: int = 4
    experts: int = 64
    places: int = 5
    spare: int = 2
    slots: int = 6
    steps_per_pass: int = 4
    step_ms: float = 4.55
    step_ms_per_stream: float = 1.81
    prompt_tokens_per_ms: float = 61.4
    expert_share: float = 0.85
    expert_copy_s: float = 0.111
    # Time to the first event beside passes and prompt: network and start at the rank.
    first_event_s: float = 0.06

    def engine(self) -> EngineProfile:
        """Return the profile that gateways and rebalancers see."""
        return EngineProfile(
            slots=self.slots,
            steps_per_pass=self.steps_per_pass,
            step_ms=self.step_ms,
            step_ms_per_sequence=self.step_ms_per_stream,
            step_ms_per_context_k=0.0,
            usual_prompt_tokens=0.0,
            usual_answer_tokens=0.0,
            layer_sets=self.sets,
            experts=self.experts,
            places_per_rank=self.places,
            spare_places=self.spare,
            expert_share=self.expert_share,
            expert_copy_s=self.expert_copy_s,
        )


@dataclass(frozen=True, slots=True)
class Popularity:
    """Describe which experts are chosen; a part of the choices shifts."""

    shift_every_s: float = 4.0
    shifted_part: float = 0.6
    # Exponent of the share of an expert by its rank in popularity.
    exponent: float = 1.1
    choices_per_token: float = 40.0


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of request."""

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
    """Describe a burst of requests, or a slow rank."""

    at_s: float
    for_s: float
    # Factor on the requests of all kinds.
    burst: float = 1.0
    # Factor on the time of rank 0.
    slowdown: float = 1.0

    def holds_at(self, now: float) -> bool:
        """Return whether the trouble lasts at a time."""
        return self.at_s <= now < self.at_s + self.for_s


@dataclass(frozen=True, slots=True)
class Day:
    """Hold everything that a day depends on beside the seed."""

    length_s: float = 30.0
    gateways: int = 10
    group: Group = field(default_factory=Group)
    popularity: Popularity = field(default_factory=Popularity)
    kinds: dict[str, Kind] = field(default_factory=dict)
    troubles: tuple[Trouble, ...] = ()


def read_day(text: str) -> Day:
    """Return a day; raise DayError with all faults."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except Error as error:
        raise DayError(str(error)) from None
    faults: list[str] = []
    whole: dict[str, Any] = {"kinds": {}, "troubles": ()}
    for section in parser.sections():
        area, _, name = section.partition(" ")
        values = dict(parser[section])
        match area:
            case "day":
                whole |= _values(Day, section, values, faults)
            case "group":
                whole["group"] = Group(**_values(Group, section, values, faults))
            case "popularity":
                made = _values(Popularity, section, values, faults)
                whole["popularity"] = Popularity(**made)
            case "kind" if "per_s" in values:
                made = _values(Kind, section, values, faults)
                if "per_s" in made:
                    whole["kinds"][name] = Kind(**made)
            case "trouble" if "at_s" in values and "for_s" in values:
                made = _values(Trouble, section, values, faults)
                if "at_s" in made and "for_s" in made:
                    whole["troubles"] += (Trouble(**made),)
            case _:
                faults.append(f"[{section}]: unknown, or a needed value is missing")
    if not whole["kinds"]:
        faults.append("no [kind NAME] section")
    if faults:
        raise DayError("\n".join(faults))
    return Day(**whole)


def _values(
    kind: type, section: str, values: dict[str, str], faults: list[str]
) -> dict[str, Any]:
    """Return the numbers of a section by the fields of a dataclass."""
    types = {f.name: f.type for f in fields(kind) if f.type in ("int", "float")}
    made: dict[str, Any] = {}
    for name, value in values.items():
        if name not in types:
            faults.append(f"[{section}] {name}: unknown")
            continue
        try:
            made[name] = int(value) if types[name] == "int" else float(value)
        except ValueError:
            faults.append(f"[{section}] {name}: {value!r} is no number")
            continue
        if not 0 <= made[name] < float("inf"):
            faults.append(f"[{section}] {name}: {value!r} is out of range")
    return made
