"""The command line: ``thornjunction [run|sim|check|token|keys]``; without a sub-command it serves.

For a faulty file the program exits with ``ExitCode.FAULTY_CONFIGURATION`` and a message that names the key.
This module never logs a token or a key.
"""

from __future__ import annotations

import base64
import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
from joserfc.jwk import ECKey, OctKey

from thornjunction.program import EXTRAS_PATH, run_program
from thornjunction.runtime.config import load_config
from thornjunction.runtime.control_settings import RelaySettings, load_relay
from thornjunction.runtime.durable import replace_file
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.exit_codes import ExitCode
from thornjunction.runtime.extras import load_extras
from thornjunction.runtime.signed_settings import SignedFrontSettings
from thornjunction.signing import keyset, tokens
from thornjunction.signing.replay import ReplayWindow

# Exit code of ``token verify`` for a token that the signed front would refuse.
TOKEN_REFUSED_EXIT_CODE = 1

# Longest lifetime that an issued token may have: 31 days.
MAX_LIFETIME_S = 31 * 86_400

# Lifetime of an issued token where ``--lifetime`` is not given: an hour.
DEFAULT_LIFETIME_S = 3_600

# Number of parts of a JWT: header, claims and signature, separated by dots (RFC 7515).
JWT_PARTS = 3

# Size of a newly generated HMAC key.
OCT_KEY_BITS = 256

# Permissions of the key set file: it holds private keys, so only its owner may read it.
KEY_FILE_MODE = 0o600

# URI attribute that carries a token (RFC 9246 §2.1.14).
QUERY_PARAMETER = "URISigningPackage"

Result = TypeVar("Result")


class MissingConfigError(click.UsageError):
    """``check`` was called without CONFIG, and the operators' file does not describe a relay."""

    def __init__(self) -> None:
        super().__init__("Missing argument 'CONFIG': it may be left out only for a relay")


class NoSignedFrontError(click.ClickException):
    """The operators' file does not configure a signed-URL front."""

    def __init__(self, extras: Path) -> None:
        super().__init__(f"{extras} has no section [signed]")


class NoKeySetError(click.ClickException):
    """The operators' file lists each key with a file of its own, so there is no key set to rotate."""

    def __init__(self) -> None:
        super().__init__("the operators' file does not set signed.keyset: it lists keys in separate files")


class KeySetNotWrittenError(click.ClickException):
    """The key set file could not be replaced."""

    def __init__(self, path: Path, error: OSError) -> None:
        super().__init__(f"{path.name} was not changed: {error.strerror}")


class ForeignUrlError(click.ClickException):
    """A URL that does not belong to the signed front."""

    def __init__(self, base: str) -> None:
        super().__init__(f"the URL does not begin with {base}")


class NotAJwtError(click.ClickException):
    """A text that is not a signed JWT."""

    def __init__(self) -> None:
        super().__init__("not a signed JWT")


# Option ``--extras`` of the commands that read the operators' file.
EXTRAS_OPTION = click.option(
    "--extras", type=click.Path(path_type=Path), default=EXTRAS_PATH, show_default=True
)

# Type of an argument that must name an existing file.
CONFIG_TYPE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A request router in front of tiers of cache servers (docs/ARCHITECTURE.md)."""
    if context.invoked_subcommand is None:
        context.invoke(run)


@main.command()
@EXTRAS_OPTION
def run(extras: Path) -> None:
    """Serve until SIGTERM.

    The configuration is read from the file that PROXY_CONFIG names.  If the variable is not set, a demo with
    fake cache servers on loopback runs instead.
    """
    sys.exit(run_program(os.environ, extras))


@main.command()
def sim() -> None:
    """Make the same routing decisions for the simulator, over standard input and output."""
    from thornjunction.adapter import main as run_adapter

    sys.exit(run_adapter())


@main.command()
@click.argument("config", required=False, type=CONFIG_TYPE)
@EXTRAS_OPTION
def check(config: Path | None, extras: Path) -> None:
    """Check a configuration and the operators' file without starting.  For a relay, leave CONFIG out."""
    relay = _load_relay_or_exit(extras)
    if relay is not None:
        click.echo(f"{relay.name}: a relay of {len(relay.upstreams)} upstreams; ok")
        return
    if config is None:
        raise MissingConfigError
    router_config = _exit_if_faulty(lambda: load_config(os.environ | {"PROXY_CONFIG": str(config)}))
    operators_extras = _exit_if_faulty(lambda: load_extras(extras))
    fronts = "signed" if operators_extras.signed else "platform only"
    click.echo(f"{config.name}: {len(router_config.settings.classes)} classes, {fronts}; ok")


@main.group()
def token() -> None:
    """Issue, verify and inspect tokens of the signed-URL front (RFC 9246)."""


@token.command("issue")
@click.argument("path")
@EXTRAS_OPTION
@click.option(
    "--lifetime", type=click.IntRange(1, MAX_LIFETIME_S), default=DEFAULT_LIFETIME_S, help="seconds"
)
@click.option("--renew", type=click.IntRange(0), default=0, help="lifetime of each renewed cookie in seconds")
@click.option("--jti", default="", help="an id by which the token is accepted only once")
@click.option("--client", default="", help="bind the token to a client's address (cdniip)")
def issue(path: str, extras: Path, lifetime: int, renew: int, jti: str, client: str) -> None:
    """Print a signed URL for PATH, which has the form /CLASS/GROUP/OBJECT/PART."""
    front = _load_signed_front(extras)
    uri = front.base + path
    claims: dict[str, Any] = {}
    if renew:
        claims |= {"cdniets": renew, "cdnistt": tokens.COOKIE}
    if jti:
        claims["jti"] = jti
    if client:
        claims["cdniip"] = client
    signed_token = tokens.issue(front.trust, f"hash:{tokens.uri_hash(uri)}", time.time(), lifetime, **claims)
    separator = "&" if "?" in uri else "?"
    click.echo(f"{uri}{separator}{QUERY_PARAMETER}={signed_token}")


@token.command("verify")
@click.argument("url")
@EXTRAS_OPTION
@click.option("--client", default="", help="the client's address, for cdniip")
def verify(url: str, extras: Path, client: str) -> None:
    """Print whether the signed front would admit a URL; if not, print the status and the reason code."""
    from thornjunction.net.wire import http1, signed
    from thornjunction.signing.address import parse_address

    front = _load_signed_front(extras)
    if not url.startswith(front.base):
        raise ForeignUrlError(front.base)
    request = http1.HttpRequest("GET", url[len(front.base) :], {}, b"", True)
    try:
        target, signed_token = signed.split_token(request)
        uri = front.base + target
        tokens.verify(signed_token, uri, front.trust, ReplayWindow(), time.time(), parse_address(client))
    except (signed.RequestError, tokens.TokenError) as error:
        click.echo(f"refused {error.status} {error.code}")
        sys.exit(TOKEN_REFUSED_EXIT_CODE)
    click.echo("admitted")


@token.command("inspect")
@click.argument("text")
def inspect(text: str) -> None:
    """Print a token's header and claims as JSON, without verifying the token."""
    parts = text.rpartition(f"{QUERY_PARAMETER}=")[2].split("&")[0].split(".")
    if len(parts) != JWT_PARTS:
        raise NotAJwtError
    try:
        header = _decode_part(parts[0])
        claims = _decode_part(parts[1])
    except ValueError as error:
        raise NotAJwtError from error
    click.echo(json.dumps({"header": header, "claims": claims}, indent=2, sort_keys=True))


@main.group()
def keys() -> None:
    """List and rotate the keys of the signed-URL front (RFC 7517)."""


@keys.command("list")
@EXTRAS_OPTION
def list_keys(extras: Path) -> None:
    """Print each key: kid, algorithm, retirement time (Unix seconds), and whether it signs new tokens."""
    front = _load_signed_front(extras)
    for kid, key in sorted(front.trust.keys.items()):
        signs = " signs" if kid == front.trust.sign_with else ""
        click.echo(
            f"{kid} {key.algorithm} until={key.retired_after_s if key.retired_after_s else '-'}{signs}"
        )


@keys.command("rotate")
@EXTRAS_OPTION
@click.option("--kid", required=True, help="the key id of the new key")
@click.option("--algorithm", type=click.Choice(["ES256", "HS256"]), default="ES256", show_default=True)
def rotate(extras: Path, kid: str, algorithm: str) -> None:
    """Add a new key to the key set file and replace it atomically; routers load it within keys_every_s."""
    front = _load_signed_front(extras)
    if front.keyset is None:
        raise NoKeySetError
    path = front.keyset.path
    key_set = json.loads(path.read_bytes())
    key_set["keys"].append(_generate_key(kid, algorithm))
    data = json.dumps(key_set, indent=2).encode()
    _exit_if_faulty(lambda: keyset.parse_key_set(data, front.trust.algorithms, {}))
    try:
        replace_file(path, data, mode=KEY_FILE_MODE)
    except OSError as error:
        raise KeySetNotWrittenError(path, error) from error
    click.echo(f"added {kid} {algorithm} to {path.name}; {len(key_set['keys'])} keys")


def _generate_key(kid: str, algorithm: str) -> dict[str, Any]:
    """Generate a private key as a JSON Web Key (RFC 7517)."""
    key = ECKey.generate_key("P-256") if algorithm == "ES256" else OctKey.generate_key(OCT_KEY_BITS)
    return {"kid": kid, "alg": algorithm, "use": "sig", **key.as_dict(private=True)}


def _decode_part(text: str) -> Any:
    """Decode one part of a JWT: JSON in base64url without padding (RFC 7515).  Raises ValueError."""
    padding = "=" * (-len(text) % 4)
    return json.loads(base64.urlsafe_b64decode(text + padding))


def _load_relay_or_exit(extras: Path) -> RelaySettings | None:
    if not extras.exists():
        return None
    return _exit_if_faulty(lambda: load_relay(extras, os.environ))


def _load_signed_front(extras: Path) -> SignedFrontSettings:
    """Load the settings of the signed-URL front; raise NoSignedFrontError if the file has none."""
    front = _exit_if_faulty(lambda: load_extras(extras)).signed
    if front is None:
        raise NoSignedFrontError(extras)
    return front


def _exit_if_faulty(load: Callable[[], Result]) -> Result:
    """Return the result of ``load``; if a file is faulty, print the fault to standard error and exit."""
    try:
        return load()
    except (ConfigError, keyset.KeySetError) as error:
        click.echo(f"thornjunction: {error}", err=True)
        sys.exit(ExitCode.FAULTY_CONFIGURATION)
