import math

from turmericproxy.cache.index import Lookup, PrefixIndex, create_key
from turmericproxy.core import EngineName, Incarnation

ENGINE = EngineName("engine-1")
FIRST = Incarnation("first")
SECOND = Incarnation("second")
CHAIN = [create_key(f"{n:032x}"[::-1]) for n in range(1, 5)]


def create_index(limit: int = 1000) -> PrefixIndex:
    index = PrefixIndex(limit)
    index.observe_incarnation(ENGINE, FIRST)
    return index


def test_presence_ends_at_the_first_missing_block():
    index = create_index()
    index.predict(ENGINE, [CHAIN[0], CHAIN[1], CHAIN[3]], 10.0)
    assert index.estimate_presence(ENGINE, CHAIN, 10.0) == [1.0, 1.0]


def test_presence_of_unused_blocks_decreases_with_age():
    index = create_index()
    index.predict(ENGINE, CHAIN, 10.0)
    assert index.estimate_presence(ENGINE, CHAIN, 33.0) == [1.0] * 4
    assert index.estimate_presence(ENGINE, CHAIN, 40.0) == [0.5] * 4
    assert index.estimate_presence(ENGINE, CHAIN, 100.0) == []


def test_lost_events_halve_the_presence_of_confirmed_blocks():
    index = create_index()
    index.predict(ENGINE, CHAIN, 10.0)
    index.confirm(ENGINE, FIRST, CHAIN[0], 10.2)
    index.mark_uncertain(ENGINE, 11.0)
    assert index.estimate_presence(ENGINE, CHAIN[:1], 11.0) == [0.5]
    assert index.estimate_presence(ENGINE, CHAIN[1:2], 11.0) == [1.0]
    index.predict(ENGINE, CHAIN[:1], 12.0)
    assert index.estimate_presence(ENGINE, CHAIN[:1], 12.0) == [1.0]


def test_events_of_an_old_incarnation_are_ignored():
    index = create_index()
    index.predict(ENGINE, CHAIN, 10.0)
    assert index.observe_incarnation(ENGINE, SECOND)
    assert index.count_blocks() == 0
    index.confirm(ENGINE, FIRST, CHAIN[0], 10.5)
    assert index.estimate_presence(ENGINE, CHAIN, 10.5) == []
    index.predict(ENGINE, CHAIN, 11.0)
    index.remove(ENGINE, FIRST, CHAIN[0], 20.0)
    assert len(index.estimate_presence(ENGINE, CHAIN, 11.0)) == 4


def test_eviction_event_is_ignored_if_the_block_was_used_since():
    index = create_index()
    index.predict(ENGINE, CHAIN[:1], 10.0)
    index.remove(ENGINE, FIRST, CHAIN[0], 10.3)
    assert index.count_blocks() == 1
    index.remove(ENGINE, FIRST, CHAIN[0], 15.0)
    assert index.count_blocks() == 0


def test_residence_is_estimated_from_evictions_and_lookups():
    index = create_index()
    for number in range(60):
        key = 1000 + number
        index.predict(ENGINE, [key], float(number))
        index.remove(ENGINE, FIRST, key, number + 4.5)
    assert 3.9 < index.get_residence(ENGINE).seconds < 4.2
    for _ in range(60):
        index.record_usage(ENGINE, [Lookup(8.0)], 1)
    assert 7.9 < index.get_residence(ENGINE).seconds <= 8.0
    index.record_usage(ENGINE, [Lookup(math.inf)], 0)
    assert 7.9 < index.get_residence(ENGINE).seconds <= 8.0


def test_limit_removes_the_least_recently_used_blocks():
    index = create_index(limit=10)
    for key in range(30):
        index.predict(ENGINE, [key], float(key))
        index.predict(EngineName("engine-2"), [key], float(key))
    assert index.count_blocks() == 10
    assert index.estimate_presence(ENGINE, [29], 29.0) == [1.0]
    assert index.estimate_presence(ENGINE, [3], 29.0) == []


def test_unconfirmed_blocks_of_an_undelivered_dispatch_are_removed():
    index = create_index()
    index.predict(ENGINE, CHAIN[:1], 9.0)
    index.confirm(ENGINE, FIRST, CHAIN[0], 9.2)
    index.predict(ENGINE, CHAIN, 10.0)
    index.remove_predictions(ENGINE, CHAIN)
    assert index.estimate_presence(ENGINE, CHAIN, 10.0) == [1.0]


def test_full_engine_is_predicted_to_evict_the_last_blocks_of_a_chain_first():
    index = create_index()
    index.set_capacity(ENGINE, 5)
    index.predict(ENGINE, CHAIN, 10.0)
    index.predict(ENGINE, [1001, 1002], 11.0)
    assert index.estimate_presence(ENGINE, CHAIN, 11.0) == [1.0] * 3
    assert index.count_blocks() == 5


def test_hit_rate_of_uncertain_blocks_is_estimated_from_usage():
    index = create_index()
    index.predict(ENGINE, CHAIN, 10.0)
    for key in CHAIN:
        index.confirm(ENGINE, FIRST, key, 10.1)
    index.mark_uncertain(ENGINE, 11.0)
    lookups = index.look_up(ENGINE, CHAIN, 12.0)
    assert [lookup.is_uncertain for lookup in lookups] == [True] * 4
    for _ in range(30):
        index.record_usage(ENGINE, lookups, 4)
    assert index.estimate_presence(ENGINE, CHAIN, 12.0)[0] > 0.95
    for _ in range(30):
        index.record_usage(ENGINE, lookups, 0)
    assert index.estimate_presence(ENGINE, CHAIN, 12.0)[0] < 0.1
