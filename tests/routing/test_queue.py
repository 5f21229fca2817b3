import threading

from turmericproxy.core import AccountName, Refusal, ResultCode, read_boottime
from turmericproxy.routing import FairQueue, Ticket

FLOOD = AccountName("flood")
QUIET = AccountName("quiet")


def enter_in_thread(queue, account, order, tokens=4000):
    def run() -> None:
        ticket = queue.enter(account, tokens, read_boottime() + 10)
        assert isinstance(ticket, Ticket)
        order.append(account)
        queue.leave(ticket)

    thread = threading.Thread(target=run)
    waiting = queue.count_waiting()
    thread.start()
    deadline = read_boottime() + 5
    while queue.count_waiting() == waiting and read_boottime() < deadline:
        threading.Event().wait(0.001)
    return thread


def test_quiet_account_does_not_wait_behind_a_flood():
    queue = FairQueue(running=1)
    holder = queue.enter(FLOOD, 4000, read_boottime() + 10)
    order: list[AccountName] = []
    threads = [enter_in_thread(queue, FLOOD, order) for _ in range(10)]
    threads += [enter_in_thread(queue, QUIET, order) for _ in range(2)]
    queue.leave(holder)
    for thread in threads:
        thread.join(5)
    assert [position for position, account in enumerate(order) if account == QUIET][-1] <= 4
    assert len(order) == 12


def test_passed_deadline_is_refused_and_leaves_the_queue():
    queue = FairQueue(running=1)
    queue.enter(FLOOD, 10, read_boottime() + 10)
    refusal = queue.enter(QUIET, 10, read_boottime() + 0.08)
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert queue.count_waiting() == 0


def test_wait_beyond_the_deadline_is_refused_at_once():
    queue = FairQueue(running=1)
    queue.enter(FLOOD, 10, read_boottime() + 10)
    started = read_boottime()
    refusal = queue.enter(FLOOD, 10, started - 0.01)
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.DEADLINE_UNREACHABLE


def test_waiting_is_bounded():
    queue = FairQueue(running=1, waiting=2)
    holder = queue.enter(FLOOD, 10, read_boottime() + 10)
    order: list[AccountName] = []
    threads = [enter_in_thread(queue, FLOOD, order) for _ in range(2)]
    refusal = queue.enter(FLOOD, 10, read_boottime() + 10)
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.OVERLOADED
    queue.leave(holder)
    queue.leave(holder)
    for thread in threads:
        thread.join(5)
    assert len(order) == 2


def test_second_leave_frees_no_second_slot():
    queue = FairQueue(running=1)
    first = queue.enter(QUIET, 10, read_boottime() + 10)
    queue.leave(first)
    queue.leave(first)
    assert isinstance(queue.enter(QUIET, 10, read_boottime() + 10), Ticket)
    assert isinstance(queue.enter(QUIET, 10, read_boottime() + 0.05), Refusal)
