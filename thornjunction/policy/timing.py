"""Times that several parts of the router go by."""

# ms before the client's limit at which a request is answered: a few ticks of a caller's clock.
ANSWER_MARGIN_MS = 6.0
