"""Queue of an agent: order by priority and team, reserved shares, early refusal."""
