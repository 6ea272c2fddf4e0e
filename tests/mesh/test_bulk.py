"""Large bodies are offered before they are sent: window, order, and the effect on a slow link."""

from __future__ import annotations

import heapq
import random
import unittest
from typing import Any

from minthitch.mesh.limits.bulk import MAX_WAITING, MIN_OFFERED_BYTES, WINDOW, BulkAdmission, Offer
from minthitch.mesh.sidecar.offers import OfferSender
from minthitch.mesh.transport import ops


def offer(key: object, size: int = 60_000, rank: int = 1, due: float = 1.0, deadline: float = 8.0) -> Offer:
    return Offer(key, size, rank, due, deadline)


class Admission(unittest.TestCase):
    def setUp(self) -> None:
        self.bulk = BulkAdmission()

    def test_a_body_larger_than_the_window_is_granted_alone(self) -> None:
        self.assertTrue(self.bulk.offer(0.0, offer(1, 5 * WINDOW)))
        self.assertIs(self.bulk.offer(0.0, offer(2, 1)), False)
        self.bulk.arrived(0.1, 1)
        self.assertEqual(self.bulk.next(0.1), ([2], []))

    def test_offers_are_granted_by_priority_then_by_due_time(self) -> None:
        self.bulk.offer(0.0, offer(0, WINDOW))
        for key, rank, due in ((1, 2, 0.5), (2, 1, 0.9), (3, 1, 0.6)):
            self.assertIs(self.bulk.offer(0.0, offer(key, WINDOW, rank, due)), False)
        order = []
        for now in (0.1, 0.2, 0.3):
            self.bulk.arrived(now, next(iter(self.bulk.granted)))
            order += self.bulk.next(now)[0]
        self.assertEqual(order, [3, 2, 1])

    def test_a_body_that_can_not_arrive_in_time_is_rejected_at_once(self) -> None:
        self.bulk.offer(0.0, offer(0, WINDOW))
        self.bulk.arrived(0.5, 0)  # the link carries two windows a second
        self.assertTrue(self.bulk.offer(0.5, offer(1, WINDOW)))
        self.assertIsNone(self.bulk.offer(0.5, offer(2, WINDOW, due=1.4)))
        self.assertIs(self.bulk.offer(0.5, offer(3, WINDOW, due=1.6)), False)
        self.assertAlmostEqual(self.bulk.expected_wait(1), 0.5)

    def test_an_offer_that_waited_too_long_is_reported_as_late(self) -> None:
        self.bulk.offer(0.0, offer(0, WINDOW))
        self.bulk.offer(0.0, offer(1, WINDOW, due=0.3))
        self.bulk.arrived(0.4, 0)
        self.assertEqual(self.bulk.next(0.4), ([], [1]))

    def test_a_failed_sender_does_not_occupy_the_window(self) -> None:
        self.bulk.offer(0.0, offer(0, WINDOW, deadline=2.0))
        self.bulk.offer(0.0, offer(1, WINDOW, due=3.0))
        self.assertEqual(self.bulk.next(1.9), ([], []))
        self.assertEqual(self.bulk.next(2.1), ([1], []))
        self.bulk.arrived(2.2, 0)  # arrives late: it is no longer counted
        self.assertEqual(self.bulk.outstanding, WINDOW)

    def test_withdrawn_and_unknown_offers(self) -> None:
        self.bulk.offer(0.0, offer(0, WINDOW))
        self.bulk.offer(0.0, offer(1, WINDOW))
        self.bulk.withdrawn(0.1, 1)
        self.bulk.withdrawn(0.1, 0)
        self.bulk.withdrawn(0.1, 7)
        self.bulk.arrived(0.1, 7)
        self.assertEqual((self.bulk.outstanding, self.bulk.waiting), (0, []))

    def test_the_number_of_waiting_offers_is_limited(self) -> None:
        self.bulk.offer(0.0, offer("first", WINDOW))
        verdicts = [self.bulk.offer(0.0, offer(n, 60_000)) for n in range(MAX_WAITING + 1)]
        self.assertEqual(verdicts, [False] * MAX_WAITING + [None])


class SlowLink(unittest.TestCase):
    """Bodies of many senders on one link, twice as many bytes as it can carry."""

    RATE = 600_000.0  # bytes a second
    AIM = 1.2

    def simulate(self, window: bool) -> tuple[int, float]:
        """Number of bodies on time, and the longest queue inside the link, in seconds."""
        rng, bulk = random.Random(7), BulkAdmission()
        events: list[tuple[float, int, str, int]] = []
        sizes, offered_at = {}, {}
        free, longest, in_time = 0.0, 0.0, 0
        for number in range(600):
            at = number * 0.05
            sizes[number], offered_at[number] = rng.randrange(20_000, 100_000), at
            heapq.heappush(events, (at, number, "offer", number))

        def send(now: float, number: int) -> None:
            nonlocal free, longest
            free = max(free, now) + sizes[number] / self.RATE
            longest = max(longest, free - now)
            heapq.heappush(events, (free, number, "here", number))

        while events:
            now, _, what, number = heapq.heappop(events)
            if what == "offer":
                if not window or bulk.offer(
                    now, offer(number, sizes[number], due=now + self.AIM, deadline=now + 8.0)
                ):
                    send(now, number)
                continue
            in_time += now <= offered_at[number] + self.AIM
            if window:
                bulk.arrived(now, number)
                for key in bulk.next(now)[0]:
                    send(now, int(str(key)))
        return in_time, longest

    def test_the_queue_in_the_link_stays_short_and_more_bodies_are_on_time(self) -> None:
        without, queue_without = self.simulate(window=False)
        with_window, queue = self.simulate(window=True)
        self.assertGreater(queue_without, 5.0)
        self.assertLess(queue, 0.35)  # one window and one body
        self.assertGreater(with_window, 2 * without)
        self.assertGreater(with_window, 0.4 * 600)


class Sending(unittest.TestCase):
    def call(self, size: int) -> ops.Message:
        body = b"x" * size
        head: tuple[Any, ...] = (
            ops.CALL,
            5,
            "life",
            4.0,
            1.0,
            1,
            0,
            "POST",
            "/",
            (),
            body,
            b"id",
            b"me",
            "route",
        )
        return head

    def test_a_small_body_is_sent_without_an_offer(self) -> None:
        self.assertIsNone(OfferSender().offer(0.0, self.call(MIN_OFFERED_BYTES - 1)))

    def test_remaining_times_are_updated_when_the_offer_is_granted(self) -> None:
        sender = OfferSender()
        self.assertEqual(
            sender.offer(0.0, self.call(MIN_OFFERED_BYTES)),
            (ops.OFFER, 5, "life", 4.0, 1.0, 1, MIN_OFFERED_BYTES, "route"),
        )
        message = sender.granted(0.5, 5)
        assert message is not None
        self.assertEqual(message[:5], (ops.CALL, 5, "life", 3.5, 0.5))
        self.assertEqual(message[5:], self.call(MIN_OFFERED_BYTES)[5:])
        self.assertIsNone(sender.granted(0.5, 5), "it is sent once")

    def test_a_forgotten_or_late_call_is_not_sent(self) -> None:
        sender = OfferSender()
        sender.offer(0.0, self.call(MIN_OFFERED_BYTES))
        self.assertTrue(sender.forget(5))
        self.assertFalse(sender.forget(5))
        self.assertIsNone(sender.granted(0.1, 5))
        sender.offer(0.0, self.call(MIN_OFFERED_BYTES))
        self.assertIsNone(sender.granted(4.0, 5))


if __name__ == "__main__":
    unittest.main()
