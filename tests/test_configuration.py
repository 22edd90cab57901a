from __future__ import annotations

import pytest

from skylarkcleat.configuration import content
from skylarkcleat.configuration import record
from skylarkcleat.configuration import store as store_lib


def _queue(name, prefix, host="h"):
    return content.Queue(name, host, prefix, "desk", 1000)


def _replace(version, *queues):
    configuration = content.Configuration(version, queues)
    data = content.encode(configuration)
    return record.CODEC.encode(record.Replace(version, data))


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("h", "/a/1", ("short", "1")),
        ("h", "/a/b/1", ("long", "1")),
        ("h", "/a/b", ("short", "b")),
        ("h", "/c/1", None),
        ("other", "/a/1", None),
    ],
)
def test_the_longest_matching_prefix_wins(host, path, expected):
    queues = (_queue("short", "/a/"), _queue("long", "/a/b/"))
    index = content.QueueIndex(content.Configuration(1, queues))
    match = index.find(host, path)
    found = (match.queue.name, match.rest) if match else None
    assert found == expected


def test_only_a_higher_version_replaces_the_configuration():
    store = store_lib.Store()
    store.apply(1, _replace(4, _queue("a", "/a/")))
    store.apply(2, _replace(4, _queue("b", "/b/")))
    store.apply(3, _replace(3, _queue("c", "/c/")))
    assert [q.name for q in store.configuration.queues] == ["a"]
    store.apply(4, _replace(9, _queue("d", "/d/")))
    index = content.QueueIndex(store.configuration)
    assert index.find("h", "/d/x")


def test_a_snapshot_holds_the_whole_state():
    store = store_lib.Store()
    store.apply(1, _replace(4, _queue("a", "/a/")))
    other = store_lib.Store()
    other.restore(store.capture())
    assert other.configuration == store.configuration
