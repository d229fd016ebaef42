"""Bounded resource tables: numbered slots, one queue of deadlines and one budget of buffered bytes."""
