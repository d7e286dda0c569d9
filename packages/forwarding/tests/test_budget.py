"""Tests of the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.ids import ServiceName
from sardineyard.forwarding.budget import BudgetRules, ServiceRetryBudget

if TYPE_CHECKING:
    from sardineyard.core.clock import ManualClock

SERVICE = ServiceName("desk")
RULES = BudgetRules(ratio=0.2, extra=100.0, window_s=10.0)


def spend(budget: ServiceRetryBudget) -> int:
    """Use up all remaining retries and return their number."""
    count = 0
    while budget.try_spend(SERVICE):
        count += 1
    return count


def test_all_processes_together_stay_below_fleet_limit(clock: ManualClock) -> None:
    """Guards against each process using the retry budget of the whole fleet."""
    budgets = [ServiceRetryBudget(clock, RULES) for _ in range(10)]
    for budget in budgets:
        budget.set_process_count(10)
        for _ in range(50):
            budget.count_request(SERVICE)
    assert 0 < sum(map(spend, budgets)) <= 0.2 * 500 + 100


def test_budget_is_replenished_after_window(clock: ManualClock) -> None:
    """Guards against a budget that is never replenished."""
    budget = ServiceRetryBudget(clock, RULES)
    spent = spend(budget)
    clock.advance(9.0)
    assert spend(budget) == 0
    clock.advance(2.0)
    assert spend(budget) == spent
