"""The rebalancer beside each model runner: it levels the expert map of the group."""
