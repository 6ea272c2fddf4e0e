"""The linearizability checker on histories written by hand: valid ones pass, each violation is detected."""

from __future__ import annotations

import unittest

from rigs.simulation.history import History
from rigs.simulation.linearizability import DROPPED, Order, Read, Row, operations, rows_of, violations

A, B = ("Routes", "a"), ("Routes", "b")


def row(ver: int, content: str = "one", key: tuple[str, str] = A) -> Row:
    return Row(key, ver, f"{content} {ver}" if content != DROPPED else DROPPED)


def order(begin: float, end: float, status: int | None, *rows: Row) -> Order:
    return Order(begin, end, rows, status, "n")


def read(begin: float, end: float, *rows: Row) -> Read:
    return Read(begin, end, {one.key: one for one in rows}, "n")


class ValidHistories(unittest.TestCase):
    def assert_valid(self, orders: list[Order], reads: list[Read]) -> None:
        self.assertEqual(violations(orders, reads), [])

    def test_sequential_orders(self) -> None:
        self.assert_valid(
            [order(0, 1, 200, row(1)), order(2, 3, 200, row(2))],
            [read(0, 0.5), read(1.1, 1.2, row(1)), read(3.1, 3.2, row(2))],
        )

    def test_concurrent_read_sees_either(self) -> None:
        orders = [order(0, 1, 200, row(1)), order(2, 3, 200, row(2))]
        self.assert_valid(orders, [read(2.1, 2.2, row(1)), read(2.3, 2.4, row(2))])

    def test_order_without_answer_takes_effect_late_or_never(self) -> None:
        orders = [order(0, 1, 200, row(1)), order(2, 3, None, row(2))]
        self.assert_valid(orders, [read(4, 5, row(1)), read(6, 7, row(2))])
        self.assert_valid(orders, [read(4, 5, row(1)), read(6, 7, row(1))])

    def test_rival_is_refused_and_repeat_acknowledged(self) -> None:
        orders = [
            order(0, 1, 200, row(1)),
            order(0, 1.5, 409, row(1, "two")),
            order(2, 3, 200, row(1)),
        ]
        self.assert_valid(orders, [read(4, 5, row(1))])

    def test_overtaken_order_is_acknowledged_and_changes_nothing(self) -> None:
        orders = [
            order(0, 1, 200, row(1)),
            order(2, 3, 200, row(5)),
            order(4, 5, 200, row(1)),
            order(4, 5, 200, row(2, "late")),
        ]
        self.assert_valid(orders, [read(6, 7, row(5))])

    def test_dropped_and_set_again(self) -> None:
        orders = [
            order(0, 1, 200, row(1)),
            order(2, 3, 200, row(2, DROPPED)),
            order(5, 6, 200, row(3)),
        ]
        self.assert_valid(orders, [read(3.1, 4), read(6.1, 7, row(3))])

    def test_refused_at_one_node_and_taken_by_an_unclear_try(self) -> None:
        orders = [
            order(0, 1, None, row(1)),
            order(0, 1, None, row(1, "two")),
            order(2, 3, 409, row(1, "two")),
        ]
        self.assert_valid(orders, [read(4, 5, row(1))])


class Violations(unittest.TestCase):
    def assert_detected(self, kind: str, orders: list[Order], reads: list[Read]) -> None:
        kinds = {text.partition(":")[0] for text in violations(orders, reads)}
        self.assertIn(kind, kinds)

    def test_read_after_acknowledgement_shows_older(self) -> None:
        orders = [order(0, 1, 200, row(1)), order(2, 3, 200, row(2))]
        self.assert_detected("STALE", orders, [read(3.5, 4, row(1))])

    def test_reads_go_back(self) -> None:
        orders = [order(0, 1, 200, row(1)), order(2, 9, None, row(2))]
        self.assert_detected("BACK", orders, [read(4, 5, row(2)), read(6, 7, row(1))])

    def test_acknowledged_and_absent(self) -> None:
        self.assert_detected("GONE", [order(0, 1, 200, row(1))], [read(2, 3)])

    def test_deleted_item_reappears(self) -> None:
        orders = [order(0, 1, 200, row(1)), order(2, 3, 200, row(2, DROPPED))]
        self.assert_detected("STALE", orders, [read(4, 5, row(1))])

    def test_two_contents_acknowledged(self) -> None:
        self.assert_detected("CONFLICT", [order(0, 1, 200, row(1)), order(0, 2, 200, row(1, "two"))], [])

    def test_one_content_acknowledged_and_another_read(self) -> None:
        orders = [order(0, 1, 200, row(1)), order(0, 2, None, row(1, "two"))]
        self.assert_detected("CONFLICT", orders, [read(3, 4, row(1, "two"))])

    def test_taken_order_refused(self) -> None:
        self.assert_detected("REFUSED", [order(0, 1, 200, row(1)), order(2, 3, 409, row(1))], [])

    def test_visible_order_refused(self) -> None:
        orders = [order(0, 1, None, row(1)), order(4, 5, 409, row(1))]
        self.assert_detected("REFUSED", orders, [read(2, 3, row(1))])

    def test_refused_without_a_rival(self) -> None:
        self.assert_detected("GROUNDLESS", [order(0, 1, 409, row(1))], [])

    def test_both_contents_refused(self) -> None:
        self.assert_detected("NEITHER", [order(0, 1, 409, row(1)), order(0, 1, 409, row(1, "two"))], [])

    def test_read_before_it_was_sent(self) -> None:
        self.assert_detected("PHANTOM", [order(3, 4, 200, row(1))], [read(1, 2, row(1))])

    def test_refused_and_in_force(self) -> None:
        orders = [order(0, 1, 400, row(1))]
        self.assert_detected("REVIVED", orders, [read(2, 3, row(1))])

    def test_call_applied_partly(self) -> None:
        call = (row(1), row(1, key=B))
        self.assert_detected("TORN", [order(0, 1, None, *call)], [read(2, 3, row(1))])

    def test_reads_that_show_two_orders_of_changes(self) -> None:
        orders = [order(0, 9, None, one) for one in (row(1), row(2), row(1, key=B), row(2, key=B))]
        reads = [read(1, 5, row(2), row(1, key=B)), read(1, 5, row(1), row(2, key=B))]
        self.assert_detected("CROSSED", orders, reads)

    def test_refused_for_a_version_that_is_not_there(self) -> None:
        orders = [
            order(0, 1, 200, row(1)),
            order(1, 2, 409, row(3)),
            order(1, 2, None, row(3, "two")),
        ]
        self.assert_detected("STALE", orders, [read(3, 4, row(1))])


class Histories(unittest.TestCase):
    def test_operations_of_a_history(self) -> None:
        item = {"Name": "a", "Ver": "0000000a"}
        history = History()
        history.add(1.0, "order", "n", begin=0.5, call={"Del": {"Routes": [item]}}, status=200, order=1)
        history.add(2.0, "read", "n", begin=1.5, body={"Routes": [item], "Limits": {"Ver": "00000001"}})
        orders, reads = operations(history)
        self.assertEqual(orders, [Order(0.5, 1.0, (Row(A, 10, DROPPED),), 200, "n")])
        self.assertEqual(reads[0].items[A], rows_of({"Upsert": {"Routes": [item]}})[0])


if __name__ == "__main__":
    unittest.main()
