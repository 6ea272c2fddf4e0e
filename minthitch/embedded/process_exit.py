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

DELIVERY_GRACE_S = 0.2  # seconds between the last answer and the end, in which the host's tasks run on
_open_workers: weakref.WeakSet[Worker] = weakref.WeakSet()
# Danger: ending a copied loop would undo the parent's epoll set, so that a child keeps what it copied.
_kept_after_fork: list[object] = []
_sigterm_workers: list[Worker] = []
_previous_handler: Any = None
_sigterm_state = ""  # of SIGTERM: "" not handled, "armed", "settling", "settled"


def register(worker: Worker) -> None:
    """Closes it at the interpreter's end, if nobody did."""
    _open_workers.add(worker)


@atexit.register
def _close_all() -> None:
    workers = [worker for worker in _open_workers if worker.pid == os.getpid()]
    _close_concurrently(workers)


def _close_concurrently(workers: list[Worker]) -> None:
    """All at once, so that the bounds do not add up; then the host's tasks and threads hear."""
    held = sum(len(worker.held) for worker in workers)
    for worker in workers:
        worker.begin_close()
    for worker in workers:
        worker.close()
    if held:
        time.sleep(DELIVERY_GRACE_S)


def _after_fork() -> None:
    for worker in _open_workers:
        _kept_after_fork.append((worker, worker.engine, worker.inbox))
        worker.lock = threading.RLock()  # the thread that held it may not be here
    _open_workers.clear()


os.register_at_fork(after_in_child=_after_fork)


def settle_on_sigterm(worker: Worker) -> None:
    """On SIGTERM all such workers settle what they hold; then what was set before takes its course.

    Raises ClientClosed when not called from the main thread.
    """
    global _previous_handler, _sigterm_state
    if threading.current_thread() is not threading.main_thread():
        raise ClientClosed("settle_on_sigterm needs a start in the main thread")
    _sigterm_workers.append(worker)
    if not _sigterm_state:
        _previous_handler = signal.signal(signal.SIGTERM, _on_sigterm)
        _sigterm_state = "armed"


def _on_sigterm(number: int, frame: FrameType | None) -> None:
    """In the main thread. A second signal does not wait."""
    global _sigterm_state
    workers = [
        worker for worker in _sigterm_workers if worker.pid == os.getpid() and worker.state != "closed"
    ]
    if _sigterm_state == "armed" and workers:
        _sigterm_state = "settling"
        threading.Thread(
            target=_settle_and_resend, args=(workers,), name="minthitch-sigterm", daemon=True
        ).start()
        return
    _sigterm_state = "settled"
    _run_previous_handler(number, frame)


def _settle_and_resend(workers: list[Worker]) -> None:
    """Danger: in the handler itself the host's loop would stand still, and its tasks would never hear."""
    _close_concurrently(workers)
    os.kill(os.getpid(), signal.SIGTERM)


def _run_previous_handler(number: int, frame: FrameType | None) -> None:
    signal.signal(signal.SIGTERM, _previous_handler if _previous_handler is not None else signal.SIG_DFL)
    if callable(_previous_handler):
        _previous_handler(number, frame)
    elif _previous_handler is not signal.SIG_IGN:
        os.kill(os.getpid(), number)
