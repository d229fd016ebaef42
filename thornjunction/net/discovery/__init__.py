"""Client side of discovery: polls, resynchronization, epoch changes and the choice of a source."""
