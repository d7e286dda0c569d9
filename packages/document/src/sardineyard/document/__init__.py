"""The configuration document: structures, validation, order and differences."""
