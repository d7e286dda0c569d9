"""The rebalancer daemon next to each model runner, which balances the expert map."""
