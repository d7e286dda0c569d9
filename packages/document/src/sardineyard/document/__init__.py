"""The configuration document: structures, validation, precedence and differences."""
