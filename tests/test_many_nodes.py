"""One node of many: a few requests a second, and a share of the in-flight limit below one request."""

from minthitch.interface import SECOND, Send
from tests.rules import CLASSES, MS, SAFE, UNSAFE, Node, settings

MANY = settings(siblings=900)


def test_one_of_many_nodes_does_not_refuse_under_normal_load() -> None:
    """Guards against an in-flight limit that never grows.

    In scenario peshawar, grown, a third was refused on a quiet day.
    """
    refused = 0
    for seed in range(5):
        node = Node(MANY, seed)
        node.listed(130)
        node.queue(80, 250 * MS, 300 * MS)
        refused += node.queue(100, 250 * MS, 300 * MS)
    assert refused <= 0.1 * 500


def test_the_in_flight_limit_of_one_of_many_nodes_recovers() -> None:
    """Guards against load evidence kept by count, which never fades once nearly all is refused."""
    node = Node(MANY)
    node.listed(130)
    node.queue(60, 400 * MS, 200 * MS)
    node.queue(60, 400 * MS, 2 * SECOND)  # ten times the normal latency, above every latency target
    assert node.queue(50, 400 * MS, 200 * MS) > 5
    node.wait(10 * SECOND)
    assert node.queue(50, 400 * MS, 200 * MS) <= 10


def test_the_first_sends_of_one_of_many_nodes_are_bounded() -> None:
    """Guards against averages that start at zero and admit a surge (peshawar: 3.6 requests a node)."""
    out = 0
    for seed in range(30):
        node = Node(MANY, seed)
        node.listed(130)
        for number in range(20):
            node.request(number)
            node.wait(10 * MS)
        out += len([a for a in node.log if isinstance(a, Send)])
    assert 30 <= out < 30 * 4


def test_many_nodes_do_not_all_choose_the_fastest_server() -> None:
    """Guards against herding: a server known as fast got five times the mean load (karachi, grown)."""
    sends: list[int] = []
    for seed in range(60):
        node = Node(MANY, seed)
        node.listed(20)
        for server in range(1, 21):
            node.balancer.servers[server].evidence.note(node.now, 0.2 if server == 1 else 1.0, True, False)
        node.request(1)
        sends += [a.server for a in node.log if isinstance(a, Send)]
    assert sends.count(1) < 20


def test_the_class_worth_more_is_preferred_at_one_of_many_nodes() -> None:
    """Guards against a limit below one request, which refuses at random (peshawar-later overload)."""
    refused_by_class = {SAFE.name: 0, UNSAFE.name: 0}
    for seed in range(5):
        node = Node(MANY, seed)
        node.listed(130)
        node.queue(200, 200 * MS, 600 * MS, (SAFE, UNSAFE))
        for book in node.records.values():
            if not book.sent:
                refused_by_class[CLASSES[book.arrived.cls].name] += 1
    assert refused_by_class[SAFE.name] > 1.3 * refused_by_class[UNSAFE.name] > 0
