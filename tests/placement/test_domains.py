"""Check when a failure domain counts as cut off."""

from turmericproxy.placement.domains import CUT_SECONDS, DomainMonitor


class Scene:
    def __init__(self, silence: float | None) -> None:
        self.now = 10.0
        self.silence = silence
        self.watch = DomainMonitor("a", lambda domain: self.silence, lambda: self.now)


def test_time_out_and_silence_together_are_a_cut() -> None:
    scene = Scene(silence=0.8)
    assert not scene.watch.is_unreachable("b")
    scene.watch.record_timeout("b")
    assert scene.watch.is_unreachable("b")
    assert not scene.watch.is_unreachable("c")


def test_time_out_of_one_upstream_is_no_cut_while_hosts_are_heard() -> None:
    scene = Scene(silence=0.1)
    scene.watch.record_timeout("b")
    assert not scene.watch.is_unreachable("b")


def test_the_own_domain_is_never_cut() -> None:
    scene = Scene(silence=0.8)
    scene.watch.record_timeout("a")
    assert not scene.watch.is_unreachable("a")


def test_cut_ends_with_an_answer_with_a_word_or_with_time() -> None:
    scene = Scene(silence=0.8)
    scene.watch.record_timeout("b")
    scene.watch.record_answer("b")
    assert not scene.watch.is_unreachable("b")
    scene.watch.record_timeout("b")
    scene.silence = 0.1
    assert not scene.watch.is_unreachable("b")
    scene.silence = 0.8
    scene.now += CUT_SECONDS + 0.1
    assert not scene.watch.is_unreachable("b")
