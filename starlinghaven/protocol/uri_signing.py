"""Signed tokens for URIs after RFC 9246 (CDNI URI Signing): checked and issued. Sans I/O.

A token is a JWT whose header names its key (`kid`) and whose claims hold the end of its life (`exp`)
and a URI container (`cdniuc`): the hash of one URI or a regular expression for many. Claims that this
module does not act on are refused, for an issuer who sets one relies on it.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
import re
from collections.abc import Collection, Mapping
from typing import Any
from urllib.parse import urlsplit, urlunsplit

import jwt

PARAMETER = "URISigningPackage"  # the query parameter that carries the token
ALGORITHMS = frozenset({"HS256", "HS384", "HS512", "ES256", "ES384", "ES512", "RS256", "PS256", "EdDSA"})
CLAIMS = frozenset({"iss", "aud", "exp", "nbf", "iat", "cdniv", "cdnicrit", "cdnistt", "cdniuc"})
MOST_TOKEN, MOST_PATTERN = 4096, 512  # characters
MOST_TIME_S = 1e12  # of a claim's Unix time
LEAST_SECRET = 32  # bytes of a shared secret at least
_ESCAPE = re.compile(r"\\[0-9A-Za-z]|\(\?")  # what POSIX expressions do not have


class BadToken(Exception):
    """A token that opens nothing. The text never holds a part of it."""


class BadKeys(ValueError):
    """A key file that can't be used. The text never holds a part of a key."""


class KeySet:
    """The keys of a JWK set by their `kid`, each with the one algorithm that it is for."""

    def __init__(self, keys: Mapping[str, jwt.PyJWK]) -> None:
        self._keys = dict(keys)

    @classmethod
    def parse(cls, text: str, allowed: Collection[str]) -> KeySet:
        keys: dict[str, jwt.PyJWK] = {}
        try:
            entries = json.loads(text)["keys"]
            for n, entry in enumerate(entries):
                kid, alg = entry["kid"], entry["alg"]
                if not isinstance(kid, str) or not kid or kid in keys:
                    raise BadKeys(f"key {n}: no kid of its own")
                if alg not in allowed or alg not in ALGORITHMS:
                    raise BadKeys(f"key {n}: its algorithm is not allowed")
                if entry["kty"] == "oct" and len(_unpadded(entry["k"])) < LEAST_SECRET:
                    raise BadKeys(f"key {n}: a secret of less than {LEAST_SECRET} bytes")
                keys[kid] = jwt.PyJWK(entry, algorithm=alg)
        except (
            *(ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError),
            jwt.PyJWTError,
        ) as error:
            raise BadKeys(f"not a key set ({type(error).__name__})") from None
        if not keys:
            raise BadKeys("no key in it")
        return cls(keys)

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, kid: object) -> jwt.PyJWK:
        key = self._keys.get(kid) if isinstance(kid, str) else None
        if key is None:
            raise BadToken("unknown key")
        return key


def _unpadded(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def uri_hash(uri: str) -> str:
    """The hash container of one URI."""
    digest = hashlib.sha256(uri.encode()).digest()
    return "hash:sha-256;" + base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def split_token(uri: str) -> tuple[str, str]:
    """The URI as it was before it was signed, and its token, empty if there is none."""
    parts = urlsplit(uri)
    pairs = parts.query.split("&") if parts.query else []
    rest = [p for p in pairs if p.partition("=")[0] != PARAMETER]
    tokens = [p.partition("=")[2] for p in pairs if p.partition("=")[0] == PARAMETER]
    if len(tokens) > 1:
        raise BadToken("more than one token")
    return urlunsplit(parts._replace(query="&".join(rest))), tokens[0] if tokens else ""


def add_token(uri: str, token: str) -> str:
    parts = urlsplit(uri)
    pairs = [parts.query] if parts.query else []
    return urlunsplit(parts._replace(query="&".join([*pairs, f"{PARAMETER}={token}"])))


def _matches(container: object, uri: str) -> bool:
    if not isinstance(container, str):
        raise BadToken("no URI container")
    if container.startswith("hash:"):
        return hmac.compare_digest(container.encode(), uri_hash(uri).encode())
    pattern = container.removeprefix("regex:")
    if pattern == container or len(pattern) > MOST_PATTERN or _ESCAPE.search(pattern):
        raise BadToken("a URI container that is not supported")
    try:
        return re.fullmatch(pattern, uri) is not None
    except (re.error, OverflowError, RecursionError):
        raise BadToken("a URI container that is not supported") from None


def check(
    token: str,
    uri: str,
    keys: KeySet,
    now: float,
    *,
    issuers: Collection[str] = (),
    audience: str | None = None,
    leeway_s: float = 0.0,
) -> None:
    """Raises BadToken unless the token opens this URI (given without its token) at this Unix time."""
    if not token:
        raise BadToken("no token")
    if len(token) > MOST_TOKEN:
        raise BadToken("too long")
    try:
        header = jwt.get_unverified_header(token)
        key = keys.get(header.get("kid"))
        if header.get("alg") != key.algorithm_name or "crit" in header:
            raise BadToken("not this key's algorithm")
        claims: dict[str, Any] = jwt.decode(
            token,
            key,
            algorithms=[key.algorithm_name],
            audience=audience,
            options={"verify_exp": False, "verify_nbf": False, "verify_iat": False, "require": ["exp"]},
        )
    except (jwt.PyJWTError, ValueError, TypeError, ArithmeticError, RecursionError) as error:
        raise BadToken(type(error).__name__) from None
    _check_claims(claims, now, issuers, leeway_s)
    if not _matches(claims.get("cdniuc"), uri):
        raise BadToken("for another URI")


def _is_time(value: object) -> bool:
    """A number that can be compared: nan would make a token that never ends, a huge one no sum."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) <= MOST_TIME_S


def _check_claims(claims: dict[str, Any], now: float, issuers: Collection[str], leeway_s: float) -> None:
    if set(claims) - CLAIMS:
        raise BadToken("a claim that is not supported")
    critical = claims.get("cdnicrit", "")
    if not isinstance(critical, str) or set(filter(None, critical.split(","))) - CLAIMS:
        raise BadToken("a critical claim that is not supported")
    if claims.get("cdniv", 1) != 1 or claims.get("cdnistt", 0) != 0:
        raise BadToken("a version or renewal that is not supported")
    for name in ("exp", "nbf", "iat"):
        if name in claims and not _is_time(claims[name]):
            raise BadToken(f"{name} is no time")
    if now >= claims["exp"] + leeway_s:
        raise BadToken("stale")
    if now < claims.get("nbf", now) - leeway_s:
        raise BadToken("not valid yet")
    if issuers and claims.get("iss") not in issuers:
        raise BadToken("unknown issuer")


def issue(
    keys: KeySet,
    kid: str,
    expires: float,
    *,
    uri: str = "",
    pattern: str = "",
    issuer: str = "",
    audience: str = "",
) -> str:
    """A token for one URI, or for all that a regular expression matches whole."""
    if bool(uri) == bool(pattern):
        raise ValueError("either a URI or a pattern")
    key = keys.get(kid)
    claims: dict[str, Any] = {"exp": int(expires), "cdniv": 1}
    claims["cdniuc"] = uri_hash(uri) if uri else f"regex:{pattern}"
    claims |= {"iss": issuer} if issuer else {}
    claims |= {"aud": audience} if audience else {}
    return jwt.encode(claims, key.key, algorithm=key.algorithm_name, headers={"kid": kid})
