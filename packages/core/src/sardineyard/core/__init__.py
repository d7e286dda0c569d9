"""Ids, states, error kinds, clocks, mailboxes and task supervision."""
