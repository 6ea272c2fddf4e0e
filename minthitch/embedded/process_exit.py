"""Closes clients at interpreter exit and on SIGTERM, settling held calls; detaches them after a fork."""

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

DELIVERY_GRACE_S = 0.2  # after the last answer, for the host's tasks to receive it before the process ends
_open_workers: weakref.WeakSet[Worker] = weakref.WeakSet()
# Destroying a loop copied by fork would change the parent's epoll set, so the child keeps references.
_kept_after_fork: list[object] = []
_sigterm_workers: list[Worker] = []
_previous_handler: Any = None
_sigterm_state = ""  # "" (no handler installed), "armed", "settling" or "settled"


def register(worker: Worker) -> None:
    """Close the worker at interpreter exit, unless the host has closed it before."""
    _open_workers.add(worker)


@atexit.register
def _close_all() -> None:
    workers = [worker for worker in _open_workers if worker.pid == os.getpid()]
    _close_concurrently(workers)


def _close_concurrently(workers: list[Worker]) -> None:
    """Close all at once, so their time limits do not add up; then let the host's tasks get their answers."""
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
        worker.lock = threading.RLock()  # the thread that held it may not exist in the child
    _open_workers.clear()


os.register_at_fork(after_in_child=_after_fork)


def settle_on_sigterm(worker: Worker) -> None:
    """On SIGTERM, settle the held calls of all such workers, then run the handler that was installed before.

    Raises:
        ClientClosed: not called from the main thread.
    """
    global _previous_handler, _sigterm_state
    if threading.current_thread() is not threading.main_thread():
        raise ClientClosed("settle_on_sigterm needs a start in the main thread")
    _sigterm_workers.append(worker)
    if not _sigterm_state:
        _previous_handler = signal.signal(signal.SIGTERM, _on_sigterm)
        _sigterm_state = "armed"


def _on_sigterm(number: int, frame: FrameType | None) -> None:
    """Runs in the main thread. A second signal does not wait for held calls."""
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
    """Runs on its own thread.

    In the handler itself it would block the host's loop, and its tasks would get no answer.
    """
    _close_concurrently(workers)
    os.kill(os.getpid(), signal.SIGTERM)


def _run_previous_handler(number: int, frame: FrameType | None) -> None:
    signal.signal(signal.SIGTERM, _previous_handler if _previous_handler is not None else signal.SIG_DFL)
    if callable(_previous_handler):
        _previous_handler(number, frame)
    elif _previous_handler is not signal.SIG_IGN:
        os.kill(os.getpid(), number)
