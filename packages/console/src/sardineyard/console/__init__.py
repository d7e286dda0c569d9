"""Web console: forms with which operators edit a document."""
