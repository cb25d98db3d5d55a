"""Order of what the store says, also after it came back from a copy.

A store that comes back from a copy counts its revisions from an earlier one again, with
other contents, and names a higher era. Everywhere in the process a revision holds both:
it is compared as one number, and every one of a later era is higher.
"""

from __future__ import annotations

_REVISION_BITS = 63  # what a signed 64-bit number holds
MAX_STORE_REVISION = 2**_REVISION_BITS - 1
MAX_ERA = 2**15 - 1


def join_revision(era: int, store_revision: int) -> int:
    """Return the revision of an era and the store's own revision.

    Raises
    ------
    ValueError
        If one of them is negative or enormous.
    """
    if not (0 <= era <= MAX_ERA and 0 <= store_revision <= MAX_STORE_REVISION):
        raise ValueError(f"revision {store_revision} of era {era} is out of range")
    return era << _REVISION_BITS | store_revision


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _REVISION_BITS


def get_store_revision(revision: int) -> int:
    """Return the store's own revision, which other eras have too."""
    return revision & MAX_STORE_REVISION


def format_revision(revision: int) -> int | str:
    """Return a revision for the logs: the store's, behind its era if that is not 0."""
    era = get_era(revision)
    store_revision = get_store_revision(revision)
    return f"{era}:{store_revision}" if era else store_revision
