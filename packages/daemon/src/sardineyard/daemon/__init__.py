"""Process life cycle and admin server shared by all daemons."""
