"""Storage of accepted services texts."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from briarthread_common.core.decoding import decode_row
from briarthread_common.core.exceptions import (
    ChecksFailed,
    ConflictError,
    DecodeError,
    PlatformError,
)
from briarthread_common.platform.feed_store import FeedStore
from briarthread_common.text.build_text import build_text
from briarthread_common.text.check_text import check_change
from briarthread_common.text.services_text import ServicesText
from briarthread_common.text.split_text import changed_sections

META = "@meta"
"""Item of the feed that holds a version's Meta."""
TRY_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class Meta:
    """Author of a version, its Unix time in seconds, and the id of the write."""

    by: str
    at: float
    try_id: str


UNKNOWN_META = Meta("unknown", 0.0, "")
"""Meta of a version that has none which can be read."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The text was accepted as this version."""

    number: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The current version has the same content; nothing was written."""

    number: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another version was accepted; this text was discarded."""

    number: int
    by: str
    sections: dict[str, str]


ApplyResult = Accepted | Unchanged | Superseded


def without_meta(sections: Mapping[str, str]) -> dict[str, str]:
    """Return the operator's sections, without the feed's own META item."""
    return {name: raw for name, raw in sections.items() if name != META}


class TextStore:
    """Store accepted texts by compare-and-set of the feed in the platform's table."""

    def __init__(self, store: FeedStore) -> None:
        self.store = store

    async def apply(
        self, base: int, sections: Mapping[str, str], by: str, now: float
    ) -> ApplyResult:
        """
        Store sections as the version that follows ``base``.

        Raise ChecksFailed if the text has faults, PlatformError if it cannot be
        determined whether the text was accepted.
        """
        new = build_text(base + 1, sections)
        current, items = await self._read()
        if current != base:
            return _superseded(current, items)
        changes = changed_sections(without_meta(items), dict(sections))
        if not changes and current:
            return Unchanged(current)
        self._check_change(base, items, new)
        meta = Meta(by, now, secrets.token_hex(TRY_ID_BYTES))
        changes[META] = msgspec.json.encode(meta).decode()
        new_items = {**sections, META: changes[META]}
        try:
            patch = await self.store.append(base, changes, new_items)
        except ConflictError:
            return _superseded(*await self._read())
        except PlatformError:
            return await self._resolve_unknown_write(base, meta)
        return Accepted(patch.number)

    def _check_change(
        self, base: int, items: dict[str, str], new: ServicesText
    ) -> None:
        if not base:
            return
        faults = check_change(build_text(base, without_meta(items)), new)
        if faults:
            raise ChecksFailed(faults)

    async def _resolve_unknown_write(self, base: int, meta: Meta) -> ApplyResult:
        """Determine by ``try_id`` whether an unanswered write took effect."""
        patch = await self.store.read_since(base)
        if patch is None:
            raise PlatformError("the write did not take effect; nothing was accepted")
        number, items = await self._read()
        raw = await self.store.read_patch(base + 1)
        if raw is not None and _meta(raw.changes).try_id == meta.try_id:
            return Accepted(base + 1)
        return _superseded(number, items)

    async def _read(self) -> tuple[int, dict[str, str]]:
        patch = await self.store.read_since(0)
        if patch is None:
            return 0, {}
        return patch.number, {k: v for k, v in patch.changes.items() if v is not None}


def _superseded(number: int, items: dict[str, str]) -> Superseded:
    return Superseded(number, _meta(items).by, without_meta(items))


def _meta(items: Mapping[str, str | None]) -> Meta:
    raw = items.get(META)
    if raw is None:
        return UNKNOWN_META
    try:
        return decode_row(raw, Meta)
    except DecodeError:
        return UNKNOWN_META
