"""The rebalancer daemon beside each model runner, which balances the expert map."""
