"""Where a token is found in a request: the query, a path segment or the cookie."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conformance.tokens import rejection_code
from thornjunction.net.wire import http1, signed

deterministic = settings(derandomize=True, max_examples=80, deadline=None)


def get_request(target: str, cookie: str) -> http1.HttpRequest:
    """Return a GET request, with a cookie if that is not empty."""
    headers = {"cookie": cookie} if cookie else {}
    return http1.HttpRequest("GET", target, headers, b"", keep_alive=True)


@pytest.mark.parametrize(
    ("section", "target", "cookie", "token", "unsigned_target"),
    [
        ("4.1", "/f/1?URISigningPackage=T", "", "T", "/f/1"),
        ("4.1", "/f/1?a=1&URISigningPackage=T&b=2", "", "T", "/f/1?a=1&b=2"),
        ("2.1.14", "/f/URISigningPackage=T/1", "", "T", "/f/1"),
        ("4.1", "/f/1", "URISigningPackage=C", "C", "/f/1"),
        ("4.1", "/f/1?URISigningPackage=T", "URISigningPackage=C", "T", "/f/1"),
    ],
)
def test_the_token_is_split_from_the_target(
    section: str, target: str, cookie: str, token: str, unsigned_target: str
) -> None:
    assert signed.split_token(get_request(target, cookie)) == (unsigned_target, token), f"§{section}"


@pytest.mark.parametrize(
    ("section", "target", "cookie", "error_code"),
    [
        ("4.1", "/f/1?URISigningPackage=T&URISigningPackage=U", "", "token-twice"),
        ("4.1", "/f/URISigningPackage=U/1?URISigningPackage=T", "", "token-twice"),
        ("4.1", "/f/1", "URISigningPackage=C; URISigningPackage=D", "token-twice"),
        ("4.1", "/f/1?URISigningPackage=", "", "token-missing"),
        ("4.1", "/f/1", "", "token-missing"),
    ],
)
def test_a_request_without_exactly_one_token_is_rejected(
    section: str, target: str, cookie: str, error_code: str
) -> None:
    with pytest.raises(signed.RequestError) as error_info:
        signed.split_token(get_request(target, cookie))
    assert error_info.value.code == error_code, f"§{section}"


@deterministic
@given(
    target=st.text(alphabet="/?&=;URISigngPacke%T", max_size=60),
    cookie=st.text(alphabet="=; URISigningPackageC", max_size=40),
)
def test_fuzzed_requests_are_split_or_rejected(target: str, cookie: str) -> None:
    request = http1.HttpRequest("GET", target, {"cookie": cookie}, b"", keep_alive=True)
    try:
        unsigned_target, token = signed.split_token(request)
    except signed.RequestError as error:
        status = error.status
    else:
        assert token
        assert f"{signed.PACKAGE}={token}" not in unsigned_target
        return
    assert status == 401


@deterministic
@given(st.text(max_size=300) | st.binary(max_size=300).map(lambda data: data.decode("latin-1")))
def test_fuzzed_tokens_are_rejected_and_raise_no_other_error(text: str) -> None:
    assert rejection_code(text) != ""
