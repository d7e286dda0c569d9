"""Tests of the settings of the processes."""

from sardineyard.core.address import Address
from sardineyard.settings.processes import read_agent_settings, read_entry_settings


def test_the_example_of_the_entry_is_read_with_its_defaults(entry_ini: str) -> None:
    """Guards against an example that a daemon refuses."""
    settings = read_entry_settings(entry_ini).unwrap()
    assert settings.caller_address == Address("127.0.0.1", 8080)
    assert settings.drain_timeout_s == 30.0
    assert len(settings.seed_peers) == 2


def test_every_error_is_listed_at_once(entry_ini: str) -> None:
    """Guards against one start per error while a VM is being set up."""
    broken = (
        entry_ini.replace("id = entry-1", "id = entry 1")
        .replace("caller_address = 127.0.0.1:8080", "caller_port = 8080")
        .replace("level = info", "level = loud")
        .replace("drain_timeout_s = 30", "drain_timeout_s = nan")
        .replace("advertised_address = 127.0.0.1", "advertised_address = 0.0.0.0")
        + "[extra]\nx = 1\n"
    )
    errors = read_entry_settings(broken).failure()
    assert {(error.section, error.option) for error in errors} == {
        ("process", "id"),
        ("process", "drain_timeout_s"),
        ("process", "advertised_address"),
        ("entry", "caller_port"),
        ("entry", "caller_address"),
        ("logging", "level"),
        ("extra", "-"),
    }
    text = "\n".join(str(error) for error in errors)
    assert (
        "[logging] level: 'loud' is not valid (unknown value); allowed: debug" in text
    )
    assert "[entry] caller_address: required option is missing" in text


def test_errors_behind_a_repeated_option_are_listed_too(entry_ini: str) -> None:
    """Guards against a syntax error that hides the wrong values after it."""
    broken = entry_ini.replace("level = info", "level = loud\nlevel = loud")
    assert [error.option for error in read_entry_settings(broken).failure()] == [
        "-",
        "level",
    ]


def test_options_of_the_default_section_are_refused(entry_ini: str) -> None:
    """Guards against options that configparser would copy into every section."""
    errors = read_entry_settings("[DEFAULT]\nlevel = info\n" + entry_ini).failure()
    assert [(error.section, error.problem) for error in errors] == [
        ("DEFAULT", "unknown section")
    ]


def test_two_listening_addresses_must_differ(entry_ini: str) -> None:
    """Guards against a daemon that fails at its second listening socket."""
    errors = read_entry_settings(entry_ini.replace(":9101", ":8080")).failure()
    assert [error.problem for error in errors] == [
        "127.0.0.1:8080 is caller_address as well"
    ]


def test_an_empty_file_names_every_required_option() -> None:
    """Guards against a start with half of the settings."""
    options = {
        (error.section, error.option) for error in read_agent_settings("").failure()
    }
    assert {("agent", "upstream"), ("platform", "address")} <= options
    assert ("logging", "level") not in options
