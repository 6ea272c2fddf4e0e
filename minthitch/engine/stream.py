"""A long body in transit from a transport to a requester, at the pace of the slower of the two. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Producer(Protocol):
    """The source of the bytes."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def drop(self) -> None: ...


class Sink(Protocol):
    """The destination of the bytes. `ended` is called once, last."""

    def receive(self, data: bytes) -> None: ...
    def ended(self, complete: bool) -> None: ...


class Stream:
    """The rest of a body after its first part. `length` is that of the whole body, None if unknown.

    Without a sink the producer is paused, so at most one read is buffered. `on_end` is called once, with
    whether the whole body was passed on.
    """

    __slots__ = ("length", "producer", "sink", "buffered", "complete", "on_end")

    def __init__(self, length: int | None, producer: Producer) -> None:
        self.length = length
        self.producer: Producer | None = producer
        self.sink: Sink | None = None
        self.buffered: list[bytes] = []
        self.complete: bool | None = None  # None: more follows
        self.on_end: Callable[[bool], None] = lambda complete: None

    # Producer's side ------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        if self.sink is not None:
            self.sink.receive(data)
        else:
            self.buffered.append(data)

    def finish(self, complete: bool) -> None:
        """Marks the end: the last byte has been fed, or none can follow. Later calls do nothing."""
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

    # Sink's side ----------------------------------------------------------------------------

    def start(self, sink: Sink) -> None:
        """Passes on what is buffered, then the rest as it arrives."""
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
        """Discards the rest and stops reading it."""
        producer, self.producer = self.producer, None
        self.sink, self.buffered = None, []
        if self.complete is None:
            self.complete = False
            self.on_end(False)
        if producer is not None:
            producer.drop()
