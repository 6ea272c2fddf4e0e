"""Operator files: units, defaults, and one-line errors for invalid values."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from minthitch import ConfigError, operatorfile
from minthitch.config import from_table as platform_table
from minthitch.interface import MILLISECOND, SECOND, Effect, Group

ROOT = Path(__file__).parent.parent
GOOD: dict[str, Any] = {
    "servers": ["127.0.0.1:9001"],
    "classes": [{"name": "search", "effect": "safe", "aim": "250ms", "deadline": "1.5s"}],
}


def with_class(**changes: Any) -> dict[str, Any]:
    row = {**GOOD["classes"][0], **changes}
    return {**GOOD, "classes": [{key: value for key, value in row.items() if value is not None}]}


def test_the_example_file_is_read_as_written() -> None:
    config = operatorfile.read(ROOT / "deploy" / "minthitch.toml")
    search, trip, ticket = config.settings.classes
    assert (search.effect, search.aim, search.deadline) == (Effect.SAFE, 1500 * MILLISECOND, 4 * SECOND)
    assert (trip.effect, trip.group, trip.window) == (Effect.KEYED, Group.CELL, 10 * SECOND)
    assert (ticket.effect, ticket.worth) == (Effect.UNSAFE, 8)
    assert config.settings.drain_grace == 500 * MILLISECOND and config.settings.max_attempts == 4
    assert config.listen == ("127.0.0.1", 8443) and not config.discovery
    assert [host.name for host in config.known.hosts] == ["127.0.0.1:9001", "127.0.0.1:9002"]


def test_omitted_keys_have_defaults() -> None:
    config = operatorfile.from_table(GOOD)
    assert config.settings.max_open == 1_000 and config.settings.retry_after
    assert config.listen == operatorfile.NO_LISTEN_ADDRESS and config.sockets == 1024
    assert (
        operatorfile.from_table({**GOOD, "classes": [{"name": "buy", "aim": "1s", "deadline": "1s"}]})
        .settings.classes[0]
        .effect
        is Effect.UNSAFE
    )


@pytest.mark.parametrize(
    ("table", "words"),
    [
        ({**GOOD, "surprise": 1}, "surprise = 1 is unknown"),
        ({**GOOD, "servers": []}, "servers = [] is not a list"),
        ({**GOOD, "servers": "127.0.0.1:1"}, "servers = '127.0.0.1:1'"),
        ({**GOOD, "servers": ["127.0.0.1:1", "box:1"]}, "servers[1] = 'box:1'"),
        ({**GOOD, "servers": [7]}, "servers[0] = 7"),
        ({**GOOD, "servers": ["127.0.0.1:1", "127.0.0.1:1"]}, "given twice"),
        ({**GOOD, "discovery": "127.0.0.1:2"}, "not both"),
        ({"classes": GOOD["classes"]}, "either servers or discovery"),
        ({"classes": GOOD["classes"], "discovery": "here"}, "discovery = 'here'"),
        ({"classes": GOOD["classes"], "discovery": 7}, "discovery = 7"),
        ({**GOOD, "listen": "127.0.0.1:99999"}, "listen = '127.0.0.1:99999'"),
        ({**GOOD, "name": ""}, "name = ''"),
        ({**GOOD, "seed": "xyz"}, "seed = 'xyz'"),
        ({**GOOD, "sockets": 10}, "sockets = 10"),
        ({**GOOD, "sockets": True}, "sockets = True"),
        ({**GOOD, "classes": []}, "classes = []"),
        ({**GOOD, "classes": [1]}, "classes[0] = 1"),
        ({**GOOD, "classes": GOOD["classes"] * 2}, "name 'search' is given twice"),
        (with_class(name="two words"), "classes[0].name = 'two words'"),
        (with_class(name=None), "classes[0].name = None"),
        (with_class(aim=None), "classes[0].aim is missing (class 'search')"),
        (with_class(aim="soon"), "classes[0].aim = 'soon'"),
        (with_class(aim=5), "classes[0].aim = 5"),
        (with_class(aim="-1s"), "classes[0].aim = '-1s'"),
        (with_class(aim="0s"), "needs an aim"),
        (with_class(aim="2s"), "over its deadline"),
        (with_class(effect="sometimes"), "classes[0].effect = 'sometimes' is not one of safe, keyed, unsafe"),
        (with_class(effect="keyed"), "classes[0].window is missing"),
        (with_class(group="rack"), "classes[0].group = 'rack'"),
        (with_class(worth=float("nan")), "classes[0].worth = nan"),
        (with_class(worth=-1), "classes[0].worth = -1"),
        (with_class(colour="red"), "classes[0].colour = 'red'"),
        ({**GOOD, "limits": {"max_open": 1.5}}, "limits.max_open = 1.5 is not a whole number"),
        ({**GOOD, "limits": {"max_attempts": 0}}, "max_attempts"),
        ({**GOOD, "limits": {"retry_after": "yes"}}, "limits.retry_after = 'yes'"),
        ({**GOOD, "limits": {"other": 1}}, "limits.other = 1"),
        ({**GOOD, "limits": 3}, "limits = 3"),
        ({**GOOD, "rules": {"cold_share": 7}}, "cold_share"),
        ({**GOOD, "rules": {"drain_grace": 5}}, "rules.drain_grace = 5"),
    ],
)
def test_an_invalid_value_is_reported_on_one_line_with_key_and_value(
    table: dict[str, Any], words: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        operatorfile.from_table(table)
    assert words in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize("text", ["a = ", "\x00", "[[[", "a = 1\na = 2"])
def test_a_toml_error_names_the_file(tmp_path: Path, text: str) -> None:
    path = tmp_path / "x.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=r"x\.toml: "):
        operatorfile.read(path)
    with pytest.raises(ConfigError, match=r"none\.toml: "):
        operatorfile.read(tmp_path / "none.toml")


def test_the_json_configuration_accepts_a_static_list() -> None:
    table = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "servers": ["127.0.0.1:5"],
        "settings": {"classes": [{"name": "a", "objectiveNs": 1, "deadlineNs": 1}]},
    }
    assert platform_table(table, {}).known.hosts[0].port == 5
    for bad in ("127.0.0.1:5", ["box"], [None]):
        with pytest.raises(ConfigError, match="servers"):
            platform_table({**table, "servers": bad}, {})


def test_the_json_configuration_sets_the_admin_address_and_the_memory() -> None:
    table = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "servers": ["127.0.0.1:5"],
        "settings": {"classes": [{"name": "a", "objectiveNs": 1, "deadlineNs": 1}]},
    }
    assert platform_table(table, {}).admin is None and not platform_table(table, {}).handover
    environ = {"BALANCER_ADMIN": "127.0.0.1:9", "TMPDIR": "/t"}
    config = platform_table({**table, "limits": {"memory_mb": 40}}, environ)
    assert (config.admin, config.handover, config.memory) == (("127.0.0.1", 9), "/t", 40 * 2**20)
    assert platform_table({**table, "admin": "127.0.0.1:8"}, environ).admin == ("127.0.0.1", 8)
    with pytest.raises(ConfigError, match="admin = 'box:9': bad address"):
        platform_table({**table, "admin": "box:9"}, {})
    for bad in ("much", 0, True, float("nan")):
        with pytest.raises(ConfigError, match="limits.memory_mb"):
            platform_table({**table, "limits": {"memory_mb": bad}}, {})
