"""Signed tokens: what opens a URI and what does not."""

from __future__ import annotations

import base64
import json
from typing import Any

import jwt
import pytest
from cryptography.hazmat.primitives.asymmetric import ec

from starlinghaven.protocol.uri_signing import (
    ALGORITHMS,
    BadKeys,
    BadToken,
    KeySet,
    add_token,
    check,
    issue,
    split_token,
    uri_hash,
)

URI = "https://documents.example/receipts/17/7f3a9c21e0b4d655/3"
NOW = 1_764_576_000.0


def secret(kid: str, fill: bytes = b"s", size: int = 64) -> dict[str, str]:
    return {"kty": "oct", "kid": kid, "alg": "HS256", "k": base64.urlsafe_b64encode(fill * size).decode()}


def key_set(*keys: dict[str, str]) -> KeySet:
    return KeySet.parse(json.dumps({"keys": keys}), ALGORITHMS)


KEYS = key_set(secret("old"), secret("new", b"t"))


def signed(kid: str = "old", fill: bytes = b"s", alg: str = "HS256", **claims: Any) -> str:
    given = {"exp": NOW + 60, "cdniuc": uri_hash(URI)} | claims
    given = {name: value for name, value in given.items() if value is not None}
    return jwt.encode(given, fill * 64, algorithm=alg, headers={"kid": kid})


def encoded(part: dict[str, Any]) -> str:
    return base64.urlsafe_b64encode(json.dumps(part).encode()).rstrip(b"=").decode()


def test_every_key_of_the_set_opens_what_it_signed() -> None:
    for kid in ("old", "new"):
        check(issue(KEYS, kid, NOW + 60, uri=URI), URI, KEYS, NOW)
    check(issue(KEYS, "old", NOW + 60, pattern="https://documents[.]example/receipts/.*"), URI, KEYS, NOW)


def test_an_elliptic_key_checks_with_its_public_part_alone() -> None:
    private = ec.generate_private_key(ec.SECP256R1())
    public = {
        **json.loads(jwt.algorithms.ECAlgorithm.to_jwk(private.public_key())),
        "kid": "ec", "alg": "ES256",
    }  # fmt: skip
    whole = {**json.loads(jwt.algorithms.ECAlgorithm.to_jwk(private)), "kid": "ec", "alg": "ES256"}
    token = issue(key_set(whole), "ec", NOW + 60, uri=URI)
    check(token, URI, key_set(public), NOW)
    with pytest.raises(BadToken):
        check(signed("ec"), URI, key_set(public), NOW)  # a shared-secret algorithm under a public key's name


@pytest.mark.parametrize(
    "token",
    [
        "", "x", "a.b.c", "x" * 5000,
        signed(fill=b"forged"[:1]),
        signed("unknown"),
        signed(exp=NOW), signed(exp=NOW - 1), signed(exp=None), signed(exp="soon"), signed(exp=True),
        signed(exp=float("nan")), signed(exp=float("inf")), signed(cdniuc="regex:a{99999999999}"),
        signed(nbf=NOW + 5),
        signed(cdniuc=None), signed(cdniuc=uri_hash(URI + "/4")), signed(cdniuc="regex:.*/4"),
        signed(cdniuc="regex:("), signed(cdniuc="regex:\\w+"), signed(cdniuc="glob:*"),
        signed(cdniuc="regex:" + "a" * 600), signed(cdniuc="regex:https://documents"),
        signed(jti="once"), signed(cdniip="x"), signed(cdniets=30), signed(cdnistt=1), signed(cdniv=2),
        signed(cdnicrit="novel"), signed(aud="other"), signed(sub="someone"),
        signed(alg="HS512"),
        f'{encoded({"alg": "none", "kid": "old"})}.{encoded({"exp": NOW + 60, "cdniuc": uri_hash(URI)})}.',
    ],
)  # fmt: skip
def test_what_does_not_open(token: str) -> None:
    with pytest.raises(BadToken) as caught:
        check(token, URI, KEYS, NOW)
    assert not token or token not in str(caught.value)


def test_issuer_audience_and_leeway_are_the_operators() -> None:
    token = issue(KEYS, "old", NOW, uri=URI, issuer="claims", audience="edge")
    check(token, URI, KEYS, NOW + 1, issuers=["claims"], audience="edge", leeway_s=2)
    for issuers, audience, leeway in ((["x"], "edge", 2), (["claims"], "x", 2), (["claims"], "edge", 0)):
        with pytest.raises(BadToken):
            check(token, URI, KEYS, NOW + 1, issuers=issuers, audience=audience, leeway_s=leeway)


def test_a_token_is_taken_off_the_uri_it_was_put_on() -> None:
    for uri in (URI, URI + "?a=1&b=2"):
        assert split_token(add_token(uri, "t.t.t")) == (uri, "t.t.t")
    with pytest.raises(BadToken):
        split_token(add_token(add_token(URI, "t"), "u"))


@pytest.mark.parametrize(
    "text",
    [
        "", "{}", '{"keys":[]}', '{"keys":{"a":1}}',
        json.dumps({"keys": [secret("a"), secret("a")]}),
        json.dumps({"keys": [secret("a", size=16)]}),
        json.dumps({"keys": [secret("a") | {"alg": "none"}]}),
        json.dumps({"keys": [secret("")]}),
        json.dumps({"keys": [{"kty": "EC", "kid": "a", "alg": "ES256"}]}),
    ],
)  # fmt: skip
def test_a_key_file_that_can_not_be_used(text: str) -> None:
    with pytest.raises(BadKeys):
        KeySet.parse(text, ALGORITHMS)
