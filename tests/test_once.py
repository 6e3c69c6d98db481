"""Tests over HTTP that a request with a key runs at most once."""

import anyio
from once_fleet import once_fleet, PAYMENT
import pytest

from corianderdoor.standins import service

HOPPED = "?corianderdoor-hop=1"
HOUR_MS = 3_600_000

pytestmark = pytest.mark.anyio


async def test_payment_sent_through_every_entry_host_runs_once():
    async with once_fleet("r1", "r2", "r3") as fleet:
        key = await fleet.mint("r1")
        answers = [await fleet.pay(name, key) for name in ("r1", "r2", "r3")]
        assert [resp.status_code for resp in answers] == [201] * 3
        assert len({resp.content for resp in answers}) == 1
        assert answers[2].headers["corianderdoor-replayed"] == "1"
        assert len(fleet.service.records) == 1


async def test_minted_key_runs_while_the_store_is_unreachable():
    async with once_fleet("r1", "r2") as fleet:
        fleet.store.faults.set("down", -1)
        key = await fleet.mint("r1")
        for name in ("r2", "r1"):
            assert (await fleet.pay(name, key)).status_code == 201
        assert len(fleet.service.records) == 1


async def test_minted_key_does_not_run_again_after_its_router_restarts():
    async with once_fleet("r1", "r2") as fleet:
        key = await fleet.mint("r1")
        await fleet.pay("r1", key)
        await fleet.replace("r1")
        for name in ("r1", "r2"):
            resp = await fleet.pay(name, key)
            assert resp.status_code == 409
            assert resp.json()["outcome"] == "unknown"
        assert len(fleet.service.records) == 1


async def test_planned_restart_stores_the_outcomes_of_minted_keys():
    async with once_fleet("r1", "r2") as fleet:
        used, unused = await fleet.mint("r1"), await fleet.mint("r1")
        first = await fleet.pay("r1", used)
        await fleet.stop_and_replace("r1")
        assert (await fleet.pay("r2", used)).content == first.content
        resp = await fleet.pay("r2", unused)
        assert (resp.status_code, resp.json()["outcome"]) == (503, "not-run")
        assert len(fleet.service.records) == 1


async def test_minted_keys_are_unknown_if_their_record_cannot_be_read():
    async with once_fleet("r1") as fleet:
        unused = await fleet.mint("r1")
        await fleet.stop_and_replace("r1")
        fleet.store.faults.set("down", -1)
        resp = await fleet.pay("r1", unused)
        assert (resp.status_code, resp.json()["outcome"]) == (409, "unknown")
        assert fleet.service.records == []


async def test_retry_while_the_first_is_in_progress_does_not_run():
    async with once_fleet("r1", "r2") as fleet:
        fleet.service.faults.set("slow", 1)
        key = await fleet.mint("r1")
        first = []

        async def pay_first():
            first.append(await fleet.pay("r1", key))

        async with anyio.create_task_group() as tg:
            tg.start_soon(pay_first)
            while not fleet.service.records:
                await anyio.sleep(0.01)
            resp = await fleet.pay("r2", key)
            assert (resp.status_code, resp.json()["outcome"]) == (
                409,
                "unknown",
            )
            assert resp.headers["retry-after"]
        assert first[0].status_code == 201
        assert (await fleet.pay("r2", key)).content == first[0].content
        assert len(fleet.service.records) == 1


async def test_run_continues_when_the_caller_disconnects_and_a_retry_gets_it():
    async with once_fleet("r1") as fleet:
        fleet.service.faults.set("slow", 1)
        key = await fleet.mint("r1")
        async with anyio.create_task_group() as tg:
            tg.start_soon(fleet.pay, "r1", key)
            while not fleet.service.records:
                await anyio.sleep(0.01)
            tg.cancel_scope.cancel()
        with anyio.fail_after(10):
            resp = await fleet.pay("r1", key)
            while resp.status_code == 409:
                await anyio.sleep(0.05)
                resp = await fleet.pay("r1", key)
        assert resp.json() == {"number": 1}
        assert len(fleet.service.records) == 1


async def test_retry_after_a_backend_timeout_is_unknown():
    async with once_fleet("r1", "r2") as fleet:
        fleet.service.faults.set("silent", 1)
        key = await fleet.mint("r1")
        deadline = {"corianderdoor-deadline-ms": "1500"}
        for name in ("r1", "r2"):
            resp = await fleet.pay(name, key, **deadline)
            assert resp.json()["outcome"] == "unknown"
        assert len(fleet.service.records) == 1


async def test_key_with_a_different_body_is_refused_as_reused():
    async with once_fleet("r1", "r2") as fleet:
        key = await fleet.mint("r1")
        await fleet.pay("r1", key)
        resp = await fleet.pay("r2", key, PAYMENT + b" ")
        assert (resp.status_code, resp.json()["outcome"]) == (422, "not-run")
        assert len(fleet.service.records) == 1


async def test_refused_payment_may_be_sent_again_with_its_key():
    async with once_fleet("r1") as fleet:
        fleet.service.faults.set("refuse", -1)
        key = await fleet.mint("r1")
        resp = await fleet.pay("r1", key)
        assert resp.json()["outcome"] == "not-run"
        fleet.service.faults.set("refuse", 0)
        assert (await fleet.pay("r1", key)).status_code == 201
        assert len(fleet.service.records) == 1


async def test_own_key_through_every_entry_host_runs_once():
    async with once_fleet("r1", "r2", "r3") as fleet:
        answers = [
            await fleet.pay(name, "order-7") for name in ("r1", "r2", "r3")
        ]
        assert [resp.status_code for resp in answers] == [201] * 3
        assert len({resp.content for resp in answers}) == 1
        assert len(fleet.service.records) == 1


async def test_own_key_of_two_workspaces_names_two_operations():
    async with once_fleet("r1") as fleet:
        await fleet.pay("r1", "order-7")
        other = {"corianderdoor-workspace": "w2"}
        assert (await fleet.pay("r1", "order-7", **other)).status_code == 201
        assert len(fleet.service.records) == 2


async def test_own_key_is_rejected_while_the_store_is_unreachable():
    async with once_fleet("r1", "r2") as fleet:
        fleet.store.faults.set("down", -1)
        resp = await fleet.pay("r1", "order-7")
        assert (resp.status_code, resp.json()["outcome"]) == (503, "unknown")
        first = {"corianderdoor-first-send": "1"}
        resp = await fleet.pay("r1", "order-7", **first)
        assert (resp.status_code, resp.json()["outcome"]) == (503, "not-run")
        assert resp.headers["retry-after"]
        assert fleet.service.records == []
        fleet.store.faults.set("down", 0)
        await anyio.sleep(1.1)
        assert (await fleet.pay("r2", "order-7")).status_code == 201


async def test_own_key_runs_once_when_the_stores_answers_are_lost():
    async with once_fleet("r1", "r2") as fleet:
        fleet.store.faults.set("lose-answer", 2)
        for name in ("r1", "r2"):
            assert (await fleet.pay(name, "order-7")).status_code == 201
        assert len(fleet.service.records) == 1


async def test_claim_with_lost_answer_and_replaced_router_is_not_run_again(
    monkeypatch,
):
    # The first request stays in progress, however long the rest takes.
    monkeypatch.setattr(service, "SLOW_MS", HOUR_MS)
    async with once_fleet("r1", "r2") as fleet:
        fleet.store.faults.set("lose-answer", 1)
        fleet.service.faults.set("slow", 1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(fleet.pay, "r1", "order-7")
            while not fleet.service.records:
                await anyio.sleep(0.01)
            for name in ("r1", "r2"):
                await fleet.replace(name)
            for name in ("r2", "r1"):
                resp = await fleet.pay(name, "order-7")
                assert resp.json()["outcome"] == "unknown"
            tg.cancel_scope.cancel()
        assert len(fleet.service.records) == 1


async def test_own_key_with_a_different_body_is_refused_as_reused():
    async with once_fleet("r1", "r2") as fleet:
        await fleet.pay("r1", "order-7")
        resp = await fleet.pay("r2", "order-7", PAYMENT + b" ")
        assert (resp.status_code, resp.json()["outcome"]) == (422, "not-run")


async def test_own_key_is_claimed_by_the_receiving_router_after_a_redirect():
    async with once_fleet("r1", "r2") as fleet:
        for name in ("r1", "r2"):
            with anyio.fail_after(10):
                resp = await fleet.pay(name, "order-7", query=HOPPED)
                while resp.status_code == 409:
                    await anyio.sleep(0.05)
                    resp = await fleet.pay(name, "order-7", query=HOPPED)
            assert resp.json() == {"number": 1}
        assert len(fleet.service.records) == 1
