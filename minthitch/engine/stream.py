"""A long body on its way: a carrier feeds it, an asker takes it, both at the pace of the slower. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Producer(Protocol):
    """Where the bytes come from."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def drop(self) -> None: ...


class Sink(Protocol):
    """Where they go. `ended` comes once, last."""

    def passed(self, data: bytes) -> None: ...
    def ended(self, whole: bool) -> None: ...


class Stream:
    """The rest of a body, behind its first part. `length` is that of the whole body, None if not known.

    Until it has a sink nothing more is read, so that it holds one read at most. `settled` is called once,
    with whether all of it was passed on.
    """

    __slots__ = ("length", "producer", "sink", "parts", "whole", "settled")

    def __init__(self, length: int | None, producer: Producer) -> None:
        self.length = length
        self.producer: Producer | None = producer
        self.sink: Sink | None = None
        self.parts: list[bytes] = []
        self.whole: bool | None = None  # None: there is more to come
        self.settled: Callable[[bool], None] = lambda whole: None

    # Its producer's side ------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        if self.sink is not None:
            self.sink.passed(data)
        else:
            self.parts.append(data)

    def finish(self, whole: bool) -> None:
        """The last byte has been fed, or no more can come. Only the first call counts."""
        if self.whole is not None:
            return
        self.whole, self.producer = whole, None
        if self.sink is not None:
            self._end()

    def _end(self) -> None:
        sink, self.sink = self.sink, None
        assert sink is not None and self.whole is not None
        sink.ended(self.whole)
        self.settled(self.whole)

    # Its sink's side ----------------------------------------------------------------------------

    def start(self, sink: Sink) -> None:
        """What has come is passed at once, the rest as it comes."""
        self.sink = sink
        parts, self.parts = self.parts, []
        for part in parts:
            sink.passed(part)
        if self.whole is not None:
            self._end()
        else:
            self.resume()

    def pause(self) -> None:
        if self.producer is not None:
            self.producer.pause()

    def resume(self) -> None:
        if self.producer is not None:
            self.producer.resume()

    def drop(self) -> None:
        """Nobody takes the rest: it is not read any further."""
        producer, self.producer = self.producer, None
        self.sink, self.parts = None, []
        if self.whole is None:
            self.whole = False
            self.settled(False)
        if producer is not None:
            producer.drop()
