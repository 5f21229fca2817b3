from collections import Counter

from turmericproxy.bench.oracle import RANKINGS, create_replay, find_best_hit_rate, replay
from turmericproxy.bench.shapes import AFINACIONES, SATNICA
from turmericproxy.bench.workload import CallKind, create_text, create_workload

SECONDS = 20.0
SEED = 7


def test_same_seed_gives_the_same_calls():
    first = create_workload(AFINACIONES, SEED, SECONDS)
    assert first == create_workload(AFINACIONES, SEED, SECONDS)
    assert first != create_workload(AFINACIONES, SEED + 1, SECONDS)


def test_levels_have_their_length_and_nest():
    calls = create_workload(SATNICA, SEED, SECONDS)
    chats = [call for call in calls if call.kind is CallKind.CHAT]
    for call in chats:
        assert [level.tokens for level in call.levels[:2]] == list(SATNICA.shared_levels)
        assert len(create_text(call.levels[0])) == 4 * SATNICA.shared_levels[0]
    above = {}
    for call in chats:
        assert above.setdefault(call.levels[2].name, call.levels[1].name) == call.levels[1].name


def test_noisy_account_sends_several_times_its_rate():
    calls = create_workload(AFINACIONES, SEED, SECONDS)
    counts = Counter(call.is_noise for call in calls if call.account == AFINACIONES.noisy_account)
    usual = counts[False] / (0.5 * SECONDS)
    noise = counts[True] / (0.5 * SECONDS)
    assert 3.0 < noise / usual < 8.0


def test_hot_subjects_shift():
    calls = create_workload(AFINACIONES, SEED, SECONDS)
    chats = [call for call in calls if call.account == "lima" and call.levels]

    def find_hottest(first: float, last: float) -> str:
        names = Counter(call.levels[-1].name for call in chats if first <= call.at < last)
        return names.most_common(1)[0][0]

    shift = AFINACIONES.hot_shift
    assert find_hottest(shift, 2 * shift) != find_hottest(2 * shift, 3 * shift)


def test_oracle_is_at_least_as_good_as_each_of_its_rankings():
    calls = create_replay(AFINACIONES, create_workload(AFINACIONES, SEED, 6.0))
    best = find_best_hit_rate(AFINACIONES, calls)
    rates = [replay(AFINACIONES, calls, rank) for rank in RANKINGS.values()]
    assert best == max(rates)
    distinct = len({block for call in calls for block in call.chain})
    total = sum(len(call.chain) for call in calls)
    assert 0.5 < best <= 1 - distinct / total
