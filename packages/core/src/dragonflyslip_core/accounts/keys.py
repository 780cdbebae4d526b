"""Keys of client accounts, and the credentials of a request."""

import dataclasses
import enum
import hashlib
import re

# A longer key is malformed, in a manifest as in a request.
MAX_KEY_LENGTH = 1_024
# No two keys that differ have the same digest of this length in practice.
DIGEST_BYTES = 32
_KEY = re.compile(rf'[\x21-\x7e]{{1,{MAX_KEY_LENGTH}}}', re.ASCII)


def is_well_formed(key: str) -> bool:
    """Return whether a text can be a key.

    A key has 1 to ``MAX_KEY_LENGTH`` visible ASCII characters, no blanks.
    """
    return _KEY.fullmatch(key) is not None


def key_digest(key: str) -> bytes:
    """Return the digest by which a well-formed key is looked up."""
    data = key.encode('ascii')
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class CredentialsState(enum.StrEnum):
    """What a request says of its key."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    PRESENT = 'present'


@dataclasses.dataclass(frozen=True)
class Credentials:
    """What a request presents, without the key itself.

    :param digest: digest of the key, empty unless it is present.
    """

    state: CredentialsState
    digest: bytes = dataclasses.field(default=b'', repr=False)

    @classmethod
    def from_key(cls, key: str) -> 'Credentials':
        """Return the credentials of a key, malformed if the key is.

        >>> Credentials.from_key('a b').state
        <CredentialsState.MALFORMED: 'malformed'>
        """
        if not is_well_formed(key):
            return cls(CredentialsState.MALFORMED)
        return cls(CredentialsState.PRESENT, key_digest(key))


NO_CREDENTIALS = Credentials(CredentialsState.MISSING)
MALFORMED_CREDENTIALS = Credentials(CredentialsState.MALFORMED)
