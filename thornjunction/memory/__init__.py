"""Bounded resources: tables of numbered slots, the queue of deadlines and the budget of buffered bytes."""
