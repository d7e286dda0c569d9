"""Load balancing, outlier ejection, retry budgets and request quarantine."""
