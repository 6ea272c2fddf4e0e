"""Parses a configuration call into rows, one for each item that it sets or deletes."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import UNSET, DecodeError, Raw, Struct, UnsetType, json

from minthitch.mesh.configuration.nesting import MAX_NESTING, is_nested_too_deep
from minthitch.mesh.configuration.schema import (
    ANY_DECODER,
    KNOWN_SECTIONS,
    LIMITS,
    LIST_DECODER,
    Item,
    LimitsItem,
    SingleItem,
    decoder_of,
)
from minthitch.mesh.configuration.validation import InvalidCallError, Key, label, problem_of

SINGLE_NAME = ""  # the row name of a section that is a single item; items of a list have names
VERSION_DIGITS = 8
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Row(Struct, frozen=True, array_like=True, gc=False):
    """An item's newest version, the log index that set it, and its bytes (None: deleted, a tombstone)."""

    section: str
    name: str
    version: int
    index: int
    body: bytes | None

    @property
    def key(self) -> Key:
        """Section and name, which identify the item."""
        return self.section, self.name


class _Call(Struct, frozen=True, rename={"upsert": "Upsert", "delete": "Del"}):
    upsert: dict[str, Raw] | UnsetType = UNSET
    delete: dict[str, Raw] | UnsetType = UNSET


_CALL_DECODER = json.Decoder(_Call)


def parse_call(body: bytes, index: int) -> list[Row]:
    """Parse the call stored at log index `index` into rows, and validate each item by itself.

    Raises:
        InvalidCallError: the call can't be parsed completely, or an item is invalid.
    """
    call = _decode_call(body)
    rows: dict[Key, Row] = {}
    for deletes, sections in ((False, call.upsert), (True, call.delete)):
        for section, raw in ({} if sections is UNSET else sections).items():
            for row in _parse_section(section, bytes(raw), deletes, index):
                first = rows.setdefault(row.key, row)
                if first.version != row.version or not same_content(first.body, row.body):
                    raise InvalidCallError(
                        f"{label(*row.key)}: Name: twice in one call with different content"
                    )
    return list(rows.values())


def _decode_call(body: bytes) -> _Call:
    if is_nested_too_deep(body):
        raise InvalidCallError(f"call: can't be read: nested deeper than {MAX_NESTING}")
    try:
        ANY_DECODER.decode(body)  # parts kept as raw bytes are returned later, so must be valid JSON
        call = _CALL_DECODER.decode(body)
    except DecodeError as error:
        raise InvalidCallError(f"call: can't be read: {error}") from None
    if call.upsert is UNSET and call.delete is UNSET:
        raise InvalidCallError("call: neither Upsert nor Del")
    return call


def _parse_section(section: str, text: bytes, deletes: bool, index: int) -> Iterator[Row]:
    is_list = text.startswith(b"[")
    # An empty list deletes nothing and is accepted for any section: operators may send one for each.
    deletes_nothing = deletes and text == b"[]"
    if section in KNOWN_SECTIONS and is_list == (section == LIMITS) and not deletes_nothing:
        raise InvalidCallError(f"{section}: must be {'one item' if section == LIMITS else 'a list'}")
    if not is_list:
        yield _parse_item(section, text, section, deletes=deletes, is_list=False, index=index)
        return
    for number, raw in enumerate(LIST_DECODER.decode(text)):
        item_label = f"{section} item {number}"
        yield _parse_item(section, bytes(raw), item_label, deletes=deletes, is_list=True, index=index)


def _parse_item(
    section: str, text: bytes, item_label: str, *, deletes: bool, is_list: bool, index: int
) -> Row:
    try:
        item = decoder_of(section, deletes=deletes, is_list=is_list).decode(text)
    except DecodeError as error:
        raise InvalidCallError(f"{label(section, _name_in(text), item_label)}: {error}") from None
    name = _name_of(item)
    if is_list and not name:
        raise InvalidCallError(f"{item_label}: Name: is empty")
    item_label = label(section, name)
    if len(item.ver) != VERSION_DIGITS or not _HEX_DIGITS.issuperset(item.ver):
        raise InvalidCallError(f"{item_label}: Ver: not eight hexadecimal digits")
    problem = problem_of(item)
    if problem:
        raise InvalidCallError(f"{item_label}: {problem}")
    return Row(section, name, int(item.ver, 16), index, None if deletes else text)


def _name_of(item: Item) -> str:
    return SINGLE_NAME if isinstance(item, (LimitsItem, SingleItem)) else item.name


def _name_in(text: bytes) -> str:
    """The name of an item that failed to decode, for the error message; empty if it has none."""
    decoded = ANY_DECODER.decode(text)
    name = decoded.get("Name", "") if isinstance(decoded, dict) else ""
    return name if isinstance(name, str) else ""


def same_content(one: bytes | None, other: bytes | None) -> bool:
    """Whether two items have equal content, ignoring key order and spacing. `true` and `1` differ."""
    if one is None or other is None or one == other:
        return one == other
    return _normalized(one) == _normalized(other)


def _normalized(text: bytes) -> bytes:
    return json.encode(ANY_DECODER.decode(text), order="sorted")
