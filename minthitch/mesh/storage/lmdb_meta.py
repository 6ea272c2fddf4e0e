"""Checks LMDB's two meta pages before LMDB opens the file, because they have no checksum.

Layout in LMDB 0.9, 64 bit, little endian: page header (16 bytes), then magic, version, address, map size,
two database records of 48 bytes (the root page is the last word of each), last page, transaction id.
"""

from __future__ import annotations

import os
import struct
from typing import NamedTuple

PAGE_HEADER_BYTES = 16
MAGIC = 0xBEEFC0DE
PAGE_SIZES = (4096, 8192, 16384, 32768)
BRANCH_PAGE, LEAF_PAGE = 0x01, 0x02  # flags in a page's header
NO_PAGE = 0xFFFFFFFFFFFFFFFF
MAX_TREE_DEPTH = 16  # no tree is deeper; the links of a torn page could form a cycle
NODE_HEADER_BYTES = 16  # of a node, with its 8-byte key
_META = struct.Struct("<IIQQ40sQ40sQQQ")
_PAGE_HEADER = struct.Struct("<QHH")
_NODE = struct.Struct("<HHHHQ")


class MetaPage(NamedTuple):
    """One of the two meta pages: the entry point to one committed state of the file."""

    offset: int  # of the page in the file
    page_size: int  # bytes
    roots: tuple[int, int]  # root pages of the free list and of the main database
    last_page: int
    transaction_id: int


def read_meta_pages(file: str) -> list[MetaPage]:
    """The meta pages with a valid magic and page size, the newest first.

    Raises:
        OSError: the file can't be read.
    """
    with open(file, "rb") as opened:
        head = opened.read(PAGE_HEADER_BYTES + _META.size)
        first = _parse(head, 0)
        page_size = first.page_size if first else os.sysconf("SC_PAGESIZE")
        opened.seek(page_size)
        second = _parse(opened.read(PAGE_HEADER_BYTES + _META.size), page_size)
    found = [page for page in (first, second) if page]
    return sorted(found, key=lambda page: page.transaction_id, reverse=True)


def _parse(raw: bytes, offset: int) -> MetaPage | None:
    if len(raw) < PAGE_HEADER_BYTES + _META.size:
        return None
    (magic, _, _, _, free_database, free_root, _, main_root, last_page, transaction_id) = _META.unpack_from(
        raw, PAGE_HEADER_BYTES
    )
    page_size = int.from_bytes(free_database[:4], "little")  # LMDB stores it in an unused word of this record
    if magic != MAGIC or page_size not in PAGE_SIZES:
        return None
    return MetaPage(offset, page_size, (free_root, main_root), last_page, transaction_id)


def has_valid_roots(file: str, page: MetaPage) -> bool:
    """Whether both roots are tree pages within the file. LMDB would read beyond its end otherwise."""
    size = os.path.getsize(file)
    with open(file, "rb") as opened:
        for root in page.roots:
            if root == NO_PAGE:
                continue
            if root > page.last_page or (root + 1) * page.page_size > size:
                return False
            opened.seek(root * page.page_size)
            number, _pad, flags = _PAGE_HEADER.unpack(opened.read(_PAGE_HEADER.size))
            if number != root or not flags & (BRANCH_PAGE | LEAF_PAGE):
                return False
    return True


def last_freeing_transaction(file: str, page: MetaPage) -> int:
    """The id of the last transaction in the free list; 0 if the list is empty or unreadable.

    Every commit of this store frees pages and records them under its own transaction id. If the last id is a
    different one, the free list's root is older than its meta page: it lists pages that may be in use, and
    new commits would overwrite them.
    """
    number = page.roots[0]
    with open(file, "rb") as opened:
        for _ in range(MAX_TREE_DEPTH):
            if number == NO_PAGE or number > page.last_page:
                return 0
            opened.seek(number * page.page_size)
            raw = opened.read(page.page_size)
            node_offset = _last_node_offset(raw, page.page_size)
            if node_offset is None:
                return 0
            low, high, more, _size, key = _NODE.unpack_from(raw, node_offset)
            (flags,) = struct.unpack_from("<H", raw, 10)
            if flags & LEAF_PAGE:
                return int(key)
            number = low | high << 16 | more << 32
    return 0


def _last_node_offset(raw: bytes, page_size: int) -> int | None:
    """The offset of a tree page's last node; None if the page is malformed."""
    if len(raw) < page_size:
        return None
    (lower,) = struct.unpack_from("<H", raw, 12)
    if lower < PAGE_HEADER_BYTES + 2 or lower > page_size:
        return None
    offset = int.from_bytes(raw[lower - 2 : lower], "little")
    return offset if offset + NODE_HEADER_BYTES <= page_size else None


def invalidate(file: str, page: MetaPage) -> None:
    """Make LMDB use the previous meta page, whose pages are all complete, by setting this one's id to 0."""
    with open(file, "r+b") as opened:
        opened.seek(page.offset + PAGE_HEADER_BYTES + _META.size - 8)
        opened.write(bytes(8))
        opened.flush()
        os.fsync(opened.fileno())
