"""Check when a failure domain counts as unreachable."""

from turmericproxy.placement.domains import TIMEOUT_VALIDITY_SECONDS, DomainMonitor


class Scenario:
    def __init__(self, contact_age: float | None) -> None:
        self.now = 10.0
        self.contact_age = contact_age
        self.monitor = DomainMonitor("a", lambda domain: self.contact_age, lambda: self.now)


def test_domain_with_a_time_out_and_without_messages_is_unreachable() -> None:
    scenario = Scenario(contact_age=0.8)
    assert not scenario.monitor.is_unreachable("b")
    scenario.monitor.record_timeout("b")
    assert scenario.monitor.is_unreachable("b")
    assert not scenario.monitor.is_unreachable("c")


def test_domain_with_a_time_out_is_reachable_while_its_hosts_send_messages() -> None:
    scenario = Scenario(contact_age=0.1)
    scenario.monitor.record_timeout("b")
    assert not scenario.monitor.is_unreachable("b")


def test_local_domain_is_never_unreachable() -> None:
    scenario = Scenario(contact_age=0.8)
    scenario.monitor.record_timeout("a")
    assert not scenario.monitor.is_unreachable("a")


def test_domain_is_reachable_again_after_an_answer_a_message_or_some_time() -> None:
    scenario = Scenario(contact_age=0.8)
    scenario.monitor.record_timeout("b")
    scenario.monitor.record_answer("b")
    assert not scenario.monitor.is_unreachable("b")
    scenario.monitor.record_timeout("b")
    scenario.contact_age = 0.1
    assert not scenario.monitor.is_unreachable("b")
    scenario.contact_age = 0.8
    scenario.now += TIMEOUT_VALIDITY_SECONDS + 0.1
    assert not scenario.monitor.is_unreachable("b")
