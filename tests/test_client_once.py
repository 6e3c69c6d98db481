"""Tests of the client's requests that must not run twice."""

import httpx
from once_fleet import once_fleet, PAYMENT
import pytest

from corianderdoor.client import Client
from corianderdoor.core.errors import Kind, Outcome

pytestmark = pytest.mark.anyio
UNREACHABLE = "http://127.0.0.1:9"


class LosingTransport(httpx.AsyncHTTPTransport):
    """Loses the answers to the first `count` payments."""

    def __init__(self, count):
        super().__init__()
        self.count = count

    async def handle_async_request(self, request):
        resp = await super().handle_async_request(request)
        if request.url.path == "/payments" and self.count:
            self.count -= 1
            await resp.aread()
            raise httpx.ReadError("lost", request=request)
        return resp


def build_client(fleet, lost=0):
    """Returns a client that loses the answers to `lost` payments."""
    http = httpx.AsyncClient(transport=LosingTransport(lost))
    return Client(list(fleet.urls.values()), "w1", http=http)


@pytest.mark.parametrize("key", ["", "order-7"], ids=["minted", "own"])
async def test_payment_with_lost_answers_runs_once_and_is_answered(key):
    async with once_fleet("r1", "r2") as fleet:
        client = build_client(fleet, lost=2)
        done = await client.request_once("POST", "/payments", key, {}, PAYMENT)
        assert done.ok.json() == {"number": 1}
        assert len(fleet.service.records) == 1
        await client.close()


async def test_payment_with_minted_key_runs_without_the_store():
    async with once_fleet("r1", "r2") as fleet:
        fleet.store.faults.set("down", -1)
        client = build_client(fleet, lost=1)
        done = await client.request_once(
            "POST", "/payments", content=PAYMENT, timeout_s=5
        )
        assert done.ok.status_code == 201
        fault = (
            await client.request_once(
                "POST", "/payments", "order-7", content=PAYMENT, timeout_s=2
            )
        ).error
        assert fault.kind is Kind.STORE_FAILED
        assert fault.outcome is Outcome.NOT_RUN
        assert len(fleet.service.records) == 1
        await client.close()


async def test_key_of_an_unreachable_host_is_replaced():
    async with once_fleet("r1", "r2") as fleet:
        client = build_client(fleet)
        ask = client._http.get
        minted = []

        async def get(url, **kwargs):
            resp = await ask(url, **kwargs)
            if url.endswith("/ticket") and not minted:
                minted.append(resp.json()["key"])
                return httpx.Response(
                    200,
                    json={"key": minted[0], "address": UNREACHABLE},
                    request=resp.request,
                )
            return resp

        client._http.get = get
        done = await client.request_once("POST", "/payments", content=PAYMENT)
        assert done.ok.status_code == 201
        (record,) = fleet.service.records
        assert record[2] != minted[0]
        await client.close()


class ScriptedHost:
    """Answers payments from a script, and mints the keys k1, k2 and so on."""

    def __init__(self, *script):
        self.script = list(script)
        self.keys = []
        self._minted = 0

    def answer(self, request):
        """Returns the next response, or raises it."""
        if request.url.path.endswith("/address"):
            hosts = [{"name": "r1", "address": "http://r1"}]
            return httpx.Response(200, json={"hosts": hosts, "valid_ms": 9})
        if request.url.path.endswith("/ticket"):
            self._minted += 1
            key = f"k{self._minted}"
            return httpx.Response(200, json={"key": key, "address": ""})
        self.keys.append(request.headers["idempotency-key"])
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def pay(self, key=""):
        """Sends one payment through a client."""
        transport = httpx.MockTransport(self.answer)
        async with httpx.AsyncClient(transport=transport) as http:
            client = Client(["http://r1"], "w1", http=http)
            return await client.request_once("POST", "/payments", key)


def build_problem(kind, outcome):
    """Returns a refusal."""
    return httpx.Response(
        409,
        headers={"corianderdoor-outcome": outcome},
        json={"type": f"urn:corianderdoor:problem:{kind}"},
    )


async def test_key_that_was_lost_before_any_run_is_replaced():
    host = ScriptedHost(
        build_problem("unresolved", "unknown"), httpx.Response(201)
    )
    done = await host.pay()
    assert done.ok.status_code == 201
    assert host.keys == ["k1", "k2"]


async def test_key_that_its_minter_will_never_run_is_replaced():
    host = ScriptedHost(
        httpx.ReadError("lost"),
        build_problem("draining", "not-run"),
        httpx.Response(201),
    )
    assert (await host.pay()).ok.status_code == 201
    assert host.keys == ["k1", "k1", "k2"]


@pytest.mark.parametrize("key", ["", "order-7"], ids=["minted", "own"])
async def test_key_that_may_have_run_is_not_replaced(key):
    host = ScriptedHost(
        httpx.ReadError("lost"),
        build_problem("in-progress", "unknown"),
        build_problem("unresolved", "unknown"),
    )
    fault = (await host.pay(key)).error
    assert (fault.kind, fault.outcome) == (Kind.UNRESOLVED, Outcome.UNKNOWN)
    assert len(set(host.keys)) == 1


async def test_own_key_that_is_unresolved_is_final():
    host = ScriptedHost(build_problem("unresolved", "unknown"))
    fault = (await host.pay("order-7")).error
    assert fault.outcome is Outcome.UNKNOWN


async def test_refusal_after_an_unknown_outcome_stays_unknown():
    host = ScriptedHost(
        httpx.ReadError("lost"), build_problem("no-rule", "not-run")
    )
    assert (await host.pay("order-7")).error.outcome is Outcome.UNKNOWN


async def test_own_key_is_served_by_another_host_if_one_is_unreachable():
    async with once_fleet("r1", "r2") as fleet:
        client = build_client(fleet)
        for name in ("r1", "r2"):
            kept, fleet.urls[name] = fleet.urls[name], UNREACHABLE
            await fleet.list_and_wait(["r1", "r2"])
            client._cache.clear()
            done = await client.request_once(
                "POST", "/payments", "order-7", content=PAYMENT, timeout_s=8
            )
            assert done.ok.json() == {"number": 1}
            fleet.urls[name] = kept
        assert len(fleet.service.records) == 1
        await client.close()


async def test_request_to_a_silent_backend_is_unknown_and_not_retried():
    async with once_fleet("r1") as fleet:
        fleet.service.faults.set("silent", 1)
        client = build_client(fleet)
        done = await client.request_once(
            "POST",
            "/payments",
            headers={"corianderdoor-deadline-ms": "1500"},
            content=PAYMENT,
        )
        assert done.error.outcome is Outcome.UNKNOWN
        assert len(fleet.service.records) == 1
        await client.close()
