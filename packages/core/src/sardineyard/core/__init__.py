"""Shared identifiers, states, errors, clocks, mailboxes and task supervision."""
