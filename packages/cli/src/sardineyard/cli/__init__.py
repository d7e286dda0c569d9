"""Command-line interface of sardineyard."""
