"""How a host process may end: without closing, by SIGTERM, or after a fork. Held calls are settled first."""

from __future__ import annotations

import atexit
import os
import signal
import threading
import time
import weakref
from types import FrameType
from typing import Any

from minthitch.embedded.errors import ClientClosed
from minthitch.embedded.worker import Worker

HOST_HEARS = 0.2  # seconds between the last answer and the end, in which the host's tasks run on
_open: weakref.WeakSet[Worker] = weakref.WeakSet()
# Danger: ending a copied loop would undo the parent's epoll set, so that a child keeps what it copied.
_forked: list[object] = []
_settling: list[Worker] = []
_previous: Any = None
_state = ""  # of SIGTERM: "" not handled, "armed", "settling", "settled"


def register(worker: Worker) -> None:
    """Closes it at the interpreter's end, if nobody did."""
    _open.add(worker)


@atexit.register
def _close_all() -> None:
    workers = [worker for worker in _open if worker.pid == os.getpid()]
    _close_each(workers)


def _close_each(workers: list[Worker]) -> None:
    """All at once, so that the bounds do not add up; then the host's tasks and threads hear."""
    held = sum(len(worker.held) for worker in workers)
    for worker in workers:
        worker.begin_close()
    for worker in workers:
        worker.close()
    if held:
        time.sleep(HOST_HEARS)


def _after_fork() -> None:
    for worker in _open:
        _forked.append((worker, worker.engine, worker.inbox))
        worker.lock = threading.RLock()  # the thread that held it may not be here
    _open.clear()


os.register_at_fork(after_in_child=_after_fork)


def settle_on_sigterm(worker: Worker) -> None:
    """On SIGTERM all such workers settle what they hold; then what was set before takes its course.

    Raises ClientClosed when not called from the main thread.
    """
    global _previous, _state
    if threading.current_thread() is not threading.main_thread():
        raise ClientClosed("settle_on_sigterm needs a start in the main thread")
    _settling.append(worker)
    if not _state:
        _previous = signal.signal(signal.SIGTERM, _on_sigterm)
        _state = "armed"


def _on_sigterm(number: int, frame: FrameType | None) -> None:
    """In the main thread. A second signal does not wait."""
    global _state
    workers = [worker for worker in _settling if worker.pid == os.getpid() and worker.state != "closed"]
    if _state == "armed" and workers:
        _state = "settling"
        threading.Thread(target=_settle, args=(workers,), name="minthitch-sigterm", daemon=True).start()
        return
    _state = "settled"
    _pass_on(number, frame)


def _settle(workers: list[Worker]) -> None:
    """Danger: in the handler itself the host's loop would stand still, and its tasks would never hear."""
    _close_each(workers)
    os.kill(os.getpid(), signal.SIGTERM)


def _pass_on(number: int, frame: FrameType | None) -> None:
    signal.signal(signal.SIGTERM, _previous if _previous is not None else signal.SIG_DFL)
    if callable(_previous):
        _previous(number, frame)
    elif _previous is not signal.SIG_IGN:
        os.kill(os.getpid(), number)
