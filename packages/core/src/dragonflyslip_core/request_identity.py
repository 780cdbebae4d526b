"""Identities of requests that stay the same when a request comes again.

A caller that repeats a request gives it a new id, so a request is identified
by a digest of its method, host, path and the first bytes of its body.
"""

import hashlib

BODY_HEAD_BYTES = 4096
# Hexadecimal digits of each of the two halves of an identity.
HALF_LENGTH = 16


def digest(fields: tuple[str, ...], digest_bytes: int) -> 'hashlib.blake2b':
    """Return a hash of text fields; further bytes may be added to it."""
    hashed = hashlib.blake2b(digest_size=digest_bytes)
    for field in fields:
        data = field.encode('utf-8', 'surrogateescape')
        hashed.update(len(data).to_bytes(4, 'little') + data)
    return hashed


def path_identity(method: str, host: str, path: str) -> str:
    """Return the first half of a request's identity.

    The caller's address is left out: it may be hidden, or change from one
    attempt to the next, behind address translation.

    :param path: path and query.
    """
    return digest((method, host, path), HALF_LENGTH // 2).hexdigest()


def identity(path_half: str, body_head: bytes) -> str:
    """Return the identity of a request.

    :param path_half: the result of :func:`path_identity`.
    :param body_head: the first ``BODY_HEAD_BYTES`` of the body, all of a
        shorter one.
    """
    hashed = hashlib.blake2b(body_head, digest_size=HALF_LENGTH // 2)
    return path_half + hashed.hexdigest()
