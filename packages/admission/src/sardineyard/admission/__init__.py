"""Admission queue of an agent: priorities, reserved shares, early refusal."""
