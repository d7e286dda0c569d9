"""Checked INI settings of the processes."""
