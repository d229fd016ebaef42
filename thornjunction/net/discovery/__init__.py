"""The watch on discovery: polls, resynchronization and the choice of a source."""
