"""Choice of upstream, load estimates, ejection, retry budget and quarantine."""
