"""Reading and validation of the INI settings of the daemons."""
