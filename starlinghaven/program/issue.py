"""Issues a signed URI: python -m starlinghaven.program.issue --keys FILE --kid KID --uri URI."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import jwt

from starlinghaven.protocol import uri_signing


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="starlinghaven.program.issue", description=__doc__)
    parser.add_argument("--keys", required=True, help="file of the key set, with private keys")
    parser.add_argument("--kid", required=True, help="the key to sign with")
    parser.add_argument("--uri", required=True, help="the URI that the token is put on")
    parser.add_argument("--pattern", default="", help="open every URI that this expression matches whole")
    parser.add_argument("--lifetime", type=float, default=300.0, metavar="S", help="seconds until it ends")
    parser.add_argument("--issuer", default="")
    parser.add_argument("--audience", default="")
    parser.add_argument("--token-only", action="store_true", help="print the token, not the URI with it")
    args = parser.parse_args(argv)
    try:
        keys = uri_signing.KeySet.parse(Path(args.keys).read_text(), uri_signing.ALGORITHMS)
        token = uri_signing.issue(
            keys,
            args.kid,
            time.time() + args.lifetime,
            uri="" if args.pattern else args.uri,
            pattern=args.pattern,
            issuer=args.issuer,
            audience=args.audience,
        )
    except (uri_signing.BadKeys, uri_signing.BadToken, OSError, ValueError) as error:
        print(f"starlinghaven: {error}", file=sys.stderr)
        return 2
    except (TypeError, AttributeError, jwt.PyJWTError):
        print("starlinghaven: this key can't sign: its private part is not in the file", file=sys.stderr)
        return 2
    print(token if args.token_only else uri_signing.add_token(args.uri, token))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
