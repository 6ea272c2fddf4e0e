"""One node of many: it sees a few calls a second and has less than a call in its part of the window."""

from minthitch.interface import SECOND, Send
from tests.rules import CLASSES, MS, SAFE, UNSAFE, Node, settings

MANY = settings(siblings=900)


def test_one_of_many_nodes_does_not_refuse_in_calm() -> None:
    """Guards against a window that never grows (the grown peshawar: a third refused on its quiet day)."""
    refused = 0
    for seed in range(5):
        node = Node(MANY, seed)
        node.listed(130)
        node.queue(80, 250 * MS, 300 * MS)
        refused += node.queue(100, 250 * MS, 300 * MS)
    assert refused <= 0.1 * 500


def test_the_load_of_one_of_many_nodes_recovers() -> None:
    """Guards against evidence that is kept by count and never fades once nearly all is refused."""
    node = Node(MANY)
    node.listed(130)
    node.queue(60, 400 * MS, 200 * MS)
    node.queue(60, 400 * MS, 2 * SECOND)  # ten times the calm one, past every aim
    assert node.queue(50, 400 * MS, 200 * MS) > 5
    node.wait(10 * SECOND)
    assert node.queue(50, 400 * MS, 200 * MS) <= 10


def test_a_start_of_one_of_many_nodes_is_bounded() -> None:
    """Guards against averages that start at nothing and let a surge in (peshawar: 3.6 calls a node)."""
    out = 0
    for seed in range(30):
        node = Node(MANY, seed)
        node.listed(130)
        for number in range(20):
            node.request(number)
            node.wait(10 * MS)
        out += len([a for a in node.log if isinstance(a, Send)])
    assert 30 <= out < 30 * 4


def test_many_nodes_do_not_all_crowd_the_best_server() -> None:
    """Guards against herding: one server known as quick got five times the mean (the grown karachi)."""
    sends: list[int] = []
    for seed in range(60):
        node = Node(MANY, seed)
        node.listed(20)
        for server in range(1, 21):
            node.balancer.servers[server].evidence.note(node.now, 0.2 if server == 1 else 1.0, True, False)
        node.request(1)
        sends += [a.server for a in node.log if isinstance(a, Send)]
    assert sends.count(1) < 20


def test_the_worthier_class_goes_first_at_one_of_many_nodes() -> None:
    """Guards against whole calls held to a part of one, which refuse by chance (peshawar-later overload)."""
    turned = {SAFE.name: 0, UNSAFE.name: 0}
    for seed in range(5):
        node = Node(MANY, seed)
        node.listed(130)
        node.queue(200, 200 * MS, 600 * MS, (SAFE, UNSAFE))
        for book in node.records.values():
            if not book.sent:
                turned[CLASSES[book.arrived.cls].name] += 1
    assert turned[SAFE.name] > 1.3 * turned[UNSAFE.name] > 0
