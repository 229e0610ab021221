"""Rendezvous hashing (highest random weight) of keys to names."""

import collections.abc
import hashlib


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Sort names by their weight for a key, highest weight first.

    Every process computes the same order for the same names. When a name is
    removed, only the keys that it ranked first for get a new first name.
    """
    return sorted(names, key=lambda name: (-_weight(key, name), name))


def _weight(key: str, name: str) -> int:
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')
