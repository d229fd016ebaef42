"""The command line: ``thornjunction [run|sim|check|token|keys]``; with no sub-command it serves, as
the deploy file's ``python -m thornjunction`` does.  Faults of a file exit 2 and name the key; nothing here
logs a token or a key."""

from __future__ import annotations

import base64
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import click
from joserfc.jwk import ECKey, OctKey

from thornjunction.runtime.config import ConfigError, load_config
from thornjunction.runtime.control_settings import load_relay
from thornjunction.runtime.durable import replace_file
from thornjunction.runtime.extras import SignedFront, load_extras
from thornjunction.runtime.start import EXTRAS, serve_or_demo
from thornjunction.signing import keyset, tokens
from thornjunction.signing.replay import ReplayWindow

EXTRAS_OPTION = click.option("--extras", type=click.Path(path_type=Path), default=EXTRAS, show_default=True)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A request router before tiers of caches (docs/ARCHITECTURE.md)."""
    if context.invoked_subcommand is None:
        context.invoke(run)


@main.command()
@EXTRAS_OPTION
def run(extras: Path) -> None:
    """Serve until SIGTERM; the configuration is the file that PROXY_CONFIG names, and without it a demo
    with stand-in shelfs on loopback."""
    sys.exit(serve_or_demo(os.environ, extras))


@main.command()
def sim() -> None:
    """The same decisions on the simulator's wire, standard input to output."""
    from thornjunction.adapter import main as adapter

    sys.exit(adapter())


@main.command()
@click.argument("config", required=False, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@EXTRAS_OPTION
def check(config: Path | None, extras: Path) -> None:
    """Check a configuration and the operators' extras without starting.  A relay has no CONFIG."""
    relay = _or_exit(lambda: load_relay(extras, os.environ)) if extras.exists() else None
    if relay is not None:
        click.echo(f"{relay.name}: a relay of {len(relay.upstreams)} upstreams; ok")
        return
    if config is None:
        raise click.UsageError("Missing argument 'CONFIG': only a relay has none")
    loaded = _or_exit(lambda: load_config(os.environ | {"PROXY_CONFIG": str(config)}))
    found = _or_exit(lambda: load_extras(extras))
    fronts = "signed" if found.signed else "platform only"
    click.echo(f"{config.name}: {len(loaded.settings.classes)} classes, {fronts}; ok")


@main.group()
def token() -> None:
    """Issue, verify and inspect tokens of the second front (RFC 9246)."""


@token.command("issue")
@click.argument("path")
@EXTRAS_OPTION
@click.option("--lifetime", type=click.IntRange(1, 31 * 86_400), default=3600, help="seconds")
@click.option("--renew", type=click.IntRange(0), default=0, help="seconds that each renewed cookie lives")
@click.option("--jti", default="", help="an id, so that the token is taken once")
@click.option("--client", default="", help="bind to a client's address (cdniip)")
def issue(path: str, extras: Path, lifetime: int, renew: int, jti: str, client: str) -> None:
    """Print a signed URL for PATH, as /CLASS/GROUP/OBJECT/PART."""
    front = _front(extras)
    uri = front.base + path
    claims: dict[str, Any] = {"cdniets": renew, "cdnistt": tokens.COOKIE} if renew else {}
    claims |= ({"jti": jti} if jti else {}) | ({"cdniip": client} if client else {})
    made = tokens.issue(front.trust, f"hash:{tokens.uri_hash(uri)}", time.time(), lifetime, **claims)
    click.echo(f"{uri}{'&' if '?' in uri else '?'}URISigningPackage={made}")


@token.command("verify")
@click.argument("url")
@EXTRAS_OPTION
@click.option("--client", default="", help="the client's address, for cdniip")
def verify(url: str, extras: Path, client: str) -> None:
    """Say whether the front would admit a signed URL, and why not."""
    from thornjunction.net.wire import http1, signed
    from thornjunction.signing.address import parse_address

    front = _front(extras)
    if not url.startswith(front.base):
        raise click.ClickException(f"not under {front.base}")
    request = http1.HttpRequest("GET", url[len(front.base) :], {}, b"", True)
    try:
        target, told = signed.split_token(request)
        tokens.verify(
            told, front.base + target, front.trust, ReplayWindow(), time.time(), parse_address(client)
        )
    except (signed.RequestError, tokens.TokenError) as error:
        click.echo(f"refused {error.status} {error.code}")
        sys.exit(1)
    click.echo("admitted")


@token.command("inspect")
@click.argument("text")
def inspect(text: str) -> None:
    """Print a token's header and claims, unverified, as JSON."""
    parts = text.rpartition("URISigningPackage=")[2].split("&")[0].split(".")
    if len(parts) != 3:
        raise click.ClickException("not a signed JWT")
    try:
        header, claims = (json.loads(base64.urlsafe_b64decode(p + "=" * (-len(p) % 4))) for p in parts[:2])
    except ValueError as error:
        raise click.ClickException("not a signed JWT") from error
    click.echo(json.dumps({"header": header, "claims": claims}, indent=2, sort_keys=True))


@main.group()
def keys() -> None:
    """The key set of the second front (RFC 7517)."""


@keys.command("list")
@EXTRAS_OPTION
def list_keys(extras: Path) -> None:
    """Print each key: kid, algorithm, retirement (Unix seconds) and whether it signs."""
    front = _front(extras)
    for kid, key in sorted(front.trust.keys.items()):
        signs = " signs" if kid == front.trust.sign_with else ""
        click.echo(
            f"{kid} {key.algorithm} until={key.retired_after_s if key.retired_after_s else '-'}{signs}"
        )


@keys.command("rotate")
@EXTRAS_OPTION
@click.option("--kid", required=True, help="the new key's name")
@click.option("--algorithm", type=click.Choice(["ES256", "HS256"]), default="ES256", show_default=True)
def rotate(extras: Path, kid: str, algorithm: str) -> None:
    """Add a new key to the key set file, written whole; the router takes it within keys_every_s."""
    front = _front(extras)
    if front.keyset is None:
        raise click.ClickException("no signed.keyset in the extras: keys are listed one file each")
    path = front.keyset.path
    told = json.loads(path.read_bytes())
    made = ECKey.generate_key("P-256") if algorithm == "ES256" else OctKey.generate_key(256)
    told["keys"].append({"kid": kid, "alg": algorithm, "use": "sig", **made.as_dict(private=True)})
    data = json.dumps(told, indent=2).encode()
    _or_exit(lambda: keyset.parse_key_set(data, front.trust.algorithms, {}))
    try:
        replace_file(path, data, mode=0o600)
    except OSError as error:
        raise click.ClickException(f"{path.name} stays as it was: {error.strerror}") from error
    click.echo(f"added {kid} {algorithm} to {path.name}; {len(told['keys'])} keys")


def _front(extras: Path) -> SignedFront:
    front: SignedFront | None = _or_exit(lambda: load_extras(extras)).signed
    if front is None:
        raise click.ClickException(f"no [signed] in {extras}")
    return front


def _or_exit(call: Any) -> Any:
    try:
        return call()
    except (ConfigError, keyset.KeySetError) as error:
        click.echo(f"thornjunction: {error}", err=True)
        sys.exit(2)
