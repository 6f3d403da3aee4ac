"""Identify repeats of a request by a digest that does not reveal its body."""

from __future__ import annotations

from hashlib import blake2b

from balsamlift.relay._request import CallerRequest

DIGEST_BYTES = 12


def fingerprint(request: CallerRequest, key: str) -> str:
    """Return a digest over the method, target and body of a request.

    The digest is keyed by the caller's key, so that other hosts cannot
    recover a body by hashing candidates.
    """
    digest = blake2b(
        digest_size=DIGEST_BYTES, key=key.encode()[: blake2b.MAX_KEY_SIZE]
    )
    for part in (request.method.encode(), request.target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return digest.hexdigest()
