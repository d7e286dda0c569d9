"""Tests of the settings of the entry and of the agent."""

from sardineyard.core.address import Address
from sardineyard.settings.processes import read_agent_settings, read_entry_settings


def test_example_entry_settings_are_valid(entry_ini: str) -> None:
    """Guards against an example settings file that the entry rejects."""
    settings = read_entry_settings(entry_ini).unwrap()
    assert settings.caller_address == Address("127.0.0.1", 8080)
    assert settings.drain_timeout_s == 30.0
    assert len(settings.seed_peers) == 2


def test_all_errors_are_reported_together(entry_ini: str) -> None:
    """Guards against a report of the first error only."""
    invalid_ini = (
        entry_ini.replace("id = entry-1", "id = entry 1")
        .replace("caller_address = 127.0.0.1:8080", "caller_port = 8080")
        .replace("level = info", "level = loud")
        .replace("drain_timeout_s = 30", "drain_timeout_s = nan")
        .replace("advertised_address = 127.0.0.1", "advertised_address = 0.0.0.0")
        + "[extra]\nx = 1\n"
    )
    errors = read_entry_settings(invalid_ini).failure()
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


def test_errors_after_a_duplicate_option_are_reported(entry_ini: str) -> None:
    """Guards against a duplicate option that hides invalid values after it."""
    invalid_ini = entry_ini.replace("level = info", "level = loud\nlevel = loud")
    assert [error.option for error in read_entry_settings(invalid_ini).failure()] == [
        "-",
        "level",
    ]


def test_default_section_is_rejected(entry_ini: str) -> None:
    """Guards against [DEFAULT] options, which configparser copies into all sections."""
    errors = read_entry_settings("[DEFAULT]\nlevel = info\n" + entry_ini).failure()
    assert [(error.section, error.problem) for error in errors] == [
        ("DEFAULT", "unknown section")
    ]


def test_listen_addresses_must_differ(entry_ini: str) -> None:
    """Guards against a daemon that fails when it binds its second listening socket."""
    errors = read_entry_settings(entry_ini.replace(":9101", ":8080")).failure()
    assert [error.problem for error in errors] == [
        "127.0.0.1:8080 is already used by caller_address"
    ]


def test_empty_file_reports_missing_required_options() -> None:
    """Guards against a daemon that starts without required options."""
    options = {
        (error.section, error.option) for error in read_agent_settings("").failure()
    }
    assert {("agent", "upstream"), ("platform", "address")} <= options
    assert ("logging", "level") not in options
