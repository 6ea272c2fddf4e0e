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

    def receive(self, data: bytes) -> None: ...
    def ended(self, complete: bool) -> None: ...


class Stream:
    """The rest of a body, behind its first part. `length` is that of the whole body, None if not known.

    Until it has a sink nothing more is read, so that it holds one read at most. `settled` is called once,
    with whether all of it was passed on.
    """

    __slots__ = ("length", "producer", "sink", "buffered", "complete", "on_end")

    def __init__(self, length: int | None, producer: Producer) -> None:
        self.length = length
        self.producer: Producer | None = producer
        self.sink: Sink | None = None
        self.buffered: list[bytes] = []
        self.complete: bool | None = None  # None: there is more to come
        self.on_end: Callable[[bool], None] = lambda complete: None

    # Its producer's side ------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        if self.sink is not None:
            self.sink.receive(data)
        else:
            self.buffered.append(data)

    def finish(self, complete: bool) -> None:
        """The last byte has been fed, or no more can come. Only the first call counts."""
        if self.complete is not None:
            return
        self.complete, self.producer = complete, None
        if self.sink is not None:
            self._end()

    def _end(self) -> None:
        sink, self.sink = self.sink, None
        assert sink is not None and self.complete is not None
        sink.ended(self.complete)
        self.on_end(self.complete)

    # Its sink's side ----------------------------------------------------------------------------

    def start(self, sink: Sink) -> None:
        """What has come is passed at once, the rest as it comes."""
        self.sink = sink
        parts, self.buffered = self.buffered, []
        for part in parts:
            sink.receive(part)
        if self.complete is not None:
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
        self.sink, self.buffered = None, []
        if self.complete is None:
            self.complete = False
            self.on_end(False)
        if producer is not None:
            producer.drop()
