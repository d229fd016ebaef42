"""Time constants that several decision components use."""

# Time before a client's timeout by which its request must be answered, as timers may fire a few ms late.
ANSWER_MARGIN_MS = 6.0
