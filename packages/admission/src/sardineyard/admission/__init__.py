"""Queues by priority and team, reserved shares and early refusal."""
