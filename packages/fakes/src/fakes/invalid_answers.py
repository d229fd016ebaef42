"""Answers of discovery that a watch client must reject, as steps of a scripted discovery."""

from __future__ import annotations

from fakes.fake_discovery import Step, close_write_side, reset_connection, respond
from fakes.watch_messages import RESPONSE_HEAD, encode_answer

# The head of an answer in chunks.
CHUNKED_HEAD = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# A valid answer with the first event, a purge of one group.
FIRST_EVENT_ANSWER = encode_answer({"cursor": 1, "cmds": [{"cursor": 1, "drop": {"family": 3, "when": 5}}]})

# The body of ``FIRST_EVENT_ANSWER``.
FIRST_EVENT_BODY = FIRST_EVENT_ANSWER.partition(b"\r\n\r\n")[2]

# Steps that give a poll no valid answer, by a description.
INVALID_ANSWERS: dict[str, Step] = {
    "garbage": respond(b"\x00\xff\r\n\r\n"),
    "no JSON": respond(encode_answer(b"{")),
    "no events": respond(encode_answer({"cursor": 1})),
    "events that are not a list": respond(encode_answer({"cursor": 1, "cmds": {"cursor": 1}})),
    "an infinite cursor": respond(encode_answer(b'{"cursor": 1e400, "cmds": []}')),
    "a cursor that is not a number": respond(encode_answer(b'{"cursor": NaN, "cmds": []}')),
    "deeply nested": respond(encode_answer(b"[" * 100_000)),
    "invalid entries only": respond(
        encode_answer({"cursor": 1, "cmds": [{"nodes": {"hosts": [{}] * 2000}}]})
    ),
    "500": respond(encode_answer({"cursor": 9, "cmds": []}, 500)),
    "404": respond(encode_answer({}, 404)),
    "endless headers": respond(RESPONSE_HEAD + b"a: b\r\n" * 4000),
    # One byte above the upper bound of an answer's size, by its length and in chunks.
    "huge": respond(RESPONSE_HEAD + b"Content-Length: 64000001\r\n\r\n"),
    "huge in chunks": respond(CHUNKED_HEAD + b"3d09001\r\n"),
    "an invalid chunk size": respond(CHUNKED_HEAD + b"zz\r\n"),
    "no length": respond(RESPONSE_HEAD + b"\r\n" + FIRST_EVENT_BODY),
    "reset": reset_connection,
    "half-close": close_write_side,
    "truncated and half-closed": respond(FIRST_EVENT_ANSWER[:-9], then=close_write_side),
}

# Steps that send a valid answer and bytes after it, by a description.
SURPLUS_ANSWERS: dict[str, Step] = {
    "a second answer": respond(FIRST_EVENT_ANSWER + FIRST_EVENT_ANSWER),
    "one more byte": respond(FIRST_EVENT_ANSWER + b"x"),
}
