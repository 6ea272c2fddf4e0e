"""An event loop in virtual time that all simulated machines share; equal seeds give equal runs.

Every callback belongs to the machine, and to the incarnation of its process, whose callback scheduled it.
The callbacks of a frozen machine wait, those of a killed one are dropped, and those of a slow one are
delayed. Each machine has its own clock with an arbitrary offset.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import random
from asyncio import events
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, NamedTuple


class Machine:
    """A simulated machine, or `world`, which runs everything else: servers' processes, clients and faults."""

    def __init__(self, name: str, offset: float = 0.0) -> None:
        self.name, self.offset = name, offset
        self.life = 0  # incarnation of its process; callbacks of earlier ones are dropped
        self.running = True
        self.powered = True
        self.frozen = False
        # Delay of callbacks in seconds, and the time of the last delayed one, which keeps them in order.
        self.lag, self.earliest = 0.0, 0.0
        self.waiting: list[_Scheduled] = []
        self.tasks: list[asyncio.Task[Any]] = []


class _Scheduled(NamedTuple):
    when: float
    order: int
    handle: asyncio.Handle
    machine: Machine
    life: int
    timer: bool


class VirtualLoop(asyncio.BaseEventLoop):
    """`machine` is the machine whose callback is running; `now` is the global virtual time."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.now, self.order, self.steps = 0.0, 0, 0
        self.heap: list[_Scheduled] = []
        self.world = self.machine = Machine("world")
        self.step_machine, self.step_life = self.world, 0  # machine and incarnation of the running callback
        self.network: Any = None
        self.failures: Callable[[str, str], None] = lambda who, what: None

    # Time and callbacks -----------------------------------------------------------------------------

    def time(self) -> float:
        return self.now + self.machine.offset

    def _push(self, when: float, handle: asyncio.Handle, machine: Machine, timer: bool) -> None:
        self.order += 1
        # If this callback ended its own process, whatever it still schedules is dropped.
        life = self.step_life if machine is self.step_machine else machine.life
        if machine.lag and when - self.now < machine.lag:
            when = max(when + machine.lag, machine.earliest)
            machine.earliest = when
        heapq.heappush(self.heap, _Scheduled(when, self.order, handle, machine, life, timer))

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self._push(self.now, handle, self.machine, False)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        timer = asyncio.TimerHandle(when, callback, args, self, context)
        self._push(max(when - self.machine.offset, self.now), timer, self.machine, True)
        return timer

    def after(self, delay: float, machine: Machine, callback: Callable[..., object], *args: Any) -> None:
        """Schedules a callback on a machine; it is dropped if the machine's process ends before."""
        self._push(self.now + delay, asyncio.Handle(callback, args, self, None), machine, False)

    def on(self, machine: Machine, callback: Callable[..., Any], *args: Any) -> Any:
        """Calls `callback` at once, as that machine."""
        before, self.machine = self.machine, machine
        try:
            return callback(*args)
        finally:
            self.machine = before

    def create_task(self, coro: Any, **more: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = super().create_task(coro, **more)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        tasks = self.machine.tasks
        tasks.append(task)
        if len(tasks) > 64:
            tasks[:] = [t for t in tasks if not t.done()]
        return task

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self.failures(self.machine.name, f"{context.get('message')}: {error!r}")

    # Machines ---------------------------------------------------------------------------------------

    def freeze(self, machine: Machine) -> None:
        machine.frozen = True

    def thaw(self, machine: Machine) -> None:
        """Schedules all callbacks that became due meanwhile; with probability 0.5 timers come first."""
        machine.frozen = False
        waiting, machine.waiting = machine.waiting, []
        if self.random.random() < 0.5:
            waiting.sort(key=lambda due: not due.timer)
        for due in waiting:
            self.order += 1
            heapq.heappush(self.heap, due._replace(when=self.now, order=self.order))

    def end(self, machine: Machine) -> None:
        """Ends the process of a machine: its callbacks and tasks are dropped."""
        machine.life += 1
        machine.running = machine.frozen = False
        machine.waiting.clear()
        machine.lag = 0.0
        for task in machine.tasks:
            if not task.done():
                _close_coroutine(task.get_coro())
        machine.tasks.clear()

    # The run ----------------------------------------------------------------------------------------

    def run_until(self, end: float) -> None:
        events._set_running_loop(self)
        try:
            while self.heap and self.heap[0].when <= end:
                self._step(heapq.heappop(self.heap))
            self.now = end
        finally:
            events._set_running_loop(None)
            self.machine = self.step_machine = self.world
            self.step_life = self.world.life

    def _step(self, due: _Scheduled) -> None:
        machine = due.machine
        if due.handle.cancelled() or due.life != machine.life:
            return
        self.now = max(self.now, due.when)
        if machine.frozen:
            machine.waiting.append(due)
            return
        self.steps += 1
        self.machine = self.step_machine = machine
        self.step_life = due.life
        due.handle._run()

    # Connections ------------------------------------------------------------------------------------

    async def create_connection(  # type: ignore[override]
        self,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **more: Any,
    ) -> tuple[asyncio.Transport, Any]:
        return await self.network.connect(self.machine, factory, host, port)  # type: ignore[no-any-return]

    async def create_server(  # type: ignore[override]
        self,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **more: Any,
    ) -> Any:
        return self.network.listen(self.machine, factory, host, port)


def _close_coroutine(coro: Coroutine[Any, Any, Any] | Any) -> None:
    with contextlib.suppress(RuntimeError, AttributeError):
        coro.close()
