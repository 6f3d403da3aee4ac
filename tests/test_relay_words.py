"""What broken engines cost, with what hosts tell each other of them."""

import asyncio
import random
from collections import Counter
from typing import cast

import attrs
import pytest
from _listed_engines import SCOPE, engines_of_one_domain
from _shared_counts import Counts, HostCounts
from _virtual_time import LoopClock, run_virtual
from loguru import logger

from balsamlift.peers import HostRank, Peers, Upstreams
from balsamlift.relay import EngineTraits
from balsamlift.relay._balance import Balancer
from balsamlift.relay._rooms import Rooms
from balsamlift.relay._words import (
    FAILING_S,
    FIRST_HOSTS,
    ONE_WORD_SHARE,
    OWN_TROUBLE,
    SERVING_S,
    TRIAL_S,
    Verdict,
    Words,
    is_to_avoid,
)

TRAITS = EngineTraits(memory_tokens=21_896)
ENGINES = 28
BROKEN = {"e3", "e17"}
PER_S = 39.0  # generations that begin, a third of them long
LONG_S, LONG_TOKENS = 5.5, 3_700
SHORT_S, SHORT_TOKENS = 0.4, 2_300
ANSWER_S = 0.3  # until an engine's first event
RESET_S = 0.002
WAIT_S = 1.8
WARM_UP_S = 6.0


@attrs.define
class Course:
    """What became of the generations of some seconds."""

    begun: int = 0
    lost: Counter[str] = attrs.field(factory=Counter)
    refused: int = 0


class Pool:
    """Hosts before one pool of engines, some of which reset all requests.

    `cut` are hosts that reach no engine, but all other hosts.
    """

    def __init__(self, hosts: int, seed: int, cut: int = 0) -> None:
        self.rng = random.Random(seed)
        self.broken: set[str] = set()
        self.course = Course()
        counts = Counts(hosts)
        listed = engines_of_one_domain(ENGINES)
        self.cut = set(range(cut))
        self.balancers = [
            Balancer(
                cast(Upstreams, listed),
                cast(Peers, HostCounts(counts, host)),
                LoopClock(),
                random.Random(f"{seed}/{host}"),
                "north",
            )
            for host in range(hosts)
        ]
        self.rooms = [Rooms(balancer) for balancer in self.balancers]
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, length_s: float) -> Course:
        """Return the course of what begins in that time."""
        self.course = Course()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        swept_s = loop.time()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(PER_S))
            task = asyncio.create_task(self._generate())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if loop.time() - swept_s > 1.0:
                swept_s = loop.time()
                for balancer, rooms in zip(
                    self.balancers, self.rooms, strict=True
                ):
                    balancer.forget_old()
                    rooms.look()
        return self.course

    async def _generate(self) -> None:
        course = self.course
        course.begun += 1
        host = self.rng.randrange(len(self.balancers))
        balancer, rooms = self.balancers[host], self.rooms[host]
        is_long = self.rng.random() < 0.34
        tokens = LONG_TOKENS if is_long else SHORT_TOKENS
        try:
            async with asyncio.timeout(WAIT_S):
                await balancer.refresh()
                holding = await rooms.wait(SCOPE, TRAITS, tokens, 0)
        except TimeoutError:
            course.refused += 1
            return
        assert holding is not None
        name = holding.upstream.name
        try:
            if name in self.broken or host in self.cut:
                await asyncio.sleep(RESET_S)
                balancer.saw_break(name)
                if host not in self.cut:
                    course.lost[name] += 1
                return
            await asyncio.sleep(ANSWER_S)
            balancer.saw_success(name)
            await asyncio.sleep(LONG_S if is_long else SHORT_S)
        finally:
            holding.release()

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hosts", [8, 87, 195])
def test_broken_engines_take_little_of_the_work(hosts: int, seed: int) -> None:
    """Two of 28 engines reset all requests for a while.

    They took a third of all generations before. At most a tenth of their
    share is to be lost, once it is known which they are.
    """

    async def test() -> None:
        pool = Pool(hosts, seed)
        await pool.play(WARM_UP_S)
        pool.broken = BROKEN
        course = await pool.play(30.0)
        pool.stop()
        share = len(BROKEN) / ENGINES
        first = len(BROKEN)
        assert course.lost.total() <= first + course.begun * share / 10
        assert course.refused == 0

    run_virtual(test)


@pytest.mark.parametrize("hosts", [8, 87])
def test_an_engine_that_is_well_again_gets_its_share_soon(hosts: int) -> None:
    async def test() -> None:
        pool = Pool(hosts, seed=1)
        await pool.play(WARM_UP_S)
        pool.broken = BROKEN
        await pool.play(5.6)
        pool.broken = set()
        await pool.play(FAILING_S * 2)
        loads = Counter(dict.fromkeys(BROKEN, 0))
        for _ in range(20):
            await pool.play(0.5)
            for name in BROKEN:
                loads[name] += sum(b.own_load(name) for b in pool.balancers)
        pool.stop()
        # Half of what all engines have on average, at least.
        per_engine = PER_S * (0.34 * LONG_TOKENS * LONG_S) / ENGINES
        assert min(loads.values()) / 20 >= per_engine / 2

    run_virtual(test)


@pytest.mark.parametrize("cut", [1, 30])
def test_hosts_in_trouble_shut_out_no_engine_for_others(cut: int) -> None:
    """They reach no engine and tell so, to hosts that are well served."""

    async def test() -> None:
        pool = Pool(87, seed=3, cut=cut)
        course = await pool.play(20.0)
        names = [f"e{i}" for i in range(ENGINES)]
        for balancer in pool.balancers[cut:]:
            assert len(balancer.usable(SCOPE, ())) > ENGINES * 0.9
            assert all(
                balancer.failure_share(n) <= ONE_WORD_SHARE for n in names
            )
        pool.stop()
        assert course.refused == 0

    run_virtual(test)


@pytest.mark.parametrize(
    ("failing", "serving", "on_trial", "position", "expected"),
    [
        (0, 0, 0, 9, False),
        (1, 0, 1, 9, False),  # one host's word shuts nothing out
        (2, 0, 2, 0, True),
        (2, 1, 2, 9, True),
        (2, 2, 2, 9, False),
        (0, 0, 2, 0, False),  # on trial: the first in its order try it
        (0, 0, 2, FIRST_HOSTS, True),
        (1, 0, 2, 0, True),  # and one of them has found it broken still
        (0, 1, 2, 9, False),  # or has been served
    ],
)
def test_who_avoids_an_upstream(
    failing: int, serving: int, on_trial: int, position: int, expected: bool
) -> None:
    verdict = Verdict(failing, serving, on_trial)
    assert is_to_avoid(verdict, lambda: HostRank(position, 20)) is expected


class Told:
    """The counts of one host, without others."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.others: Counter[str] = Counter()
        self.at_once = 0
        self.words = Words(
            self.counts.__setitem__,
            self._tell_now,
            self.others.__getitem__,
            lambda name: HostRank(0, 2),
        )

    def _tell_now(self) -> None:
        self.at_once += 1

    def names(self) -> set[str]:
        return {name for name, count in self.counts.items() if count}


def test_a_failure_is_told_at_once_and_for_a_limited_time() -> None:
    told = Told()
    told.words.saw("a", 10.0, is_failing=True)
    assert told.names() == {"a/failing", "a/trial"}
    assert told.at_once == 1
    told.words.expire(10.0 + FAILING_S + 0.1, {"a"})
    assert told.names() == {"a/trial"}
    told.words.expire(10.0 + TRIAL_S + 0.1, {"a"})
    assert told.names() == set()


def test_an_upstream_that_serves_is_told_as_such() -> None:
    told = Told()
    told.words.saw("a", 10.0, is_failing=True)
    told.words.saw("a", 11.0, is_failing=False)
    assert told.names() == {"a/serving"}
    told.words.expire(11.0 + SERVING_S + 0.1, {"a"})
    assert told.names() == set()


def test_words_on_upstreams_that_are_gone_are_taken_back() -> None:
    told = Told()
    told.words.saw("a", 10.0, is_failing=True)
    told.words.expire(10.5, set())
    assert told.names() == set()


def test_a_host_that_sees_all_fail_tells_nothing() -> None:
    told = Told()
    for n in range(OWN_TROUBLE):
        told.words.saw(f"u{n}", 10.0, is_failing=True)
    assert told.names() == set()
    assert told.words.verdict("u0").failing == 0


def test_where_most_are_told_to_fail_none_is_avoided() -> None:
    told = Told()
    for name in "abc":
        told.others[f"{name}/failing"] = told.others[f"{name}/trial"] = 3
    assert told.words.avoided("abcdef") == set("abc")
    assert told.words.avoided("abcde") == set()


def test_one_partners_word_is_not_scaled_up_to_that_of_many() -> None:
    counts = Counts(87)
    host = HostCounts(counts, 1)
    host._others.update({"e0/failing": 43, "e0/trial": 43})
    balancer = Balancer(
        cast(Upstreams, engines_of_one_domain(4)),
        cast(Peers, host),
        LoopClock(),
        random.Random(1),
        "north",
    )

    async def test() -> None:
        assert len(balancer.usable(SCOPE, ())) == 3
        host.basis = "scaled"
        assert len(balancer.usable(SCOPE, ())) == 4

    run_virtual(test)


def test_each_upstream_that_is_avoided_is_logged_once() -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    sink = logger.add(
        lambda message: lines.append(
            (message.record["message"], message.record["extra"])
        )
    )
    told = Told()
    told.others["a/failing"] = told.others["a/trial"] = 3
    try:
        for _ in range(3):
            assert told.words.avoided("abc") == {"a"}
        told.others.clear()
        assert told.words.avoided("abc") == set()
    finally:
        logger.remove(sink)
    assert [text for text, _ in lines] == ["avoided", "avoided no more"]
    assert lines[0][1]["hosts_failing"] == 3
    assert lines[0][1]["upstream"] == "a"
