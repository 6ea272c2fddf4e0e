"""How deep a JSON text is nested, by its bytes alone.

The decoder gives up at a depth that depends on the interpreter's stack at the call. Control nodes apply one
entry of the log on stacks of different depth, and have to judge it alike.
"""

from __future__ import annotations

import re
from itertools import accumulate

MAX_NESTING = 512  # objects and lists within each other; half of what the interpreter's stack allows
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
_BRACKETS = b"[]{}"
_OTHER_BYTES = bytes(set(range(256)) - set(_BRACKETS))
_STEPS = {bracket: 1 if bracket in b"[{" else -1 for bracket in _BRACKETS}


def is_nested_too_deep(text: bytes) -> bool:
    """Whether the text is nested deeper than MAX_NESTING.

    Of a text that is no valid JSON, brackets within a string that does not end are counted too.
    """
    if text.count(b"[") + text.count(b"{") <= MAX_NESTING:
        return False
    brackets = _STRING.sub(b"", text).translate(None, _OTHER_BYTES)
    return max(accumulate(map(_STEPS.__getitem__, brackets)), default=0) > MAX_NESTING
