"""Value classes for the parts of the fleet: hosts and backend servers."""

from __future__ import annotations

from .records import Record


class EntryHost(Record):
    """A host on which a router daemon serves callers.

    Attributes:
        name: Unique name.
        data_centre: Name of its data centre.
        region: Name of its region.
        address: Base URL for callers, such as "http://10.0.0.1:8080".
        control: "ip:port" of its control port, for peers and operators.
    """

    __slots__ = ("name", "data_centre", "region", "address", "control")

    def __init__(
        self,
        name: str,
        data_centre: str,
        region: str,
        address: str,
        control: str,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.address = address
        self.control = control


class Server(Record):
    """A backend server: a model engine or a plain service.

    Attributes:
        name: Unique name.
        host: Name of the host it runs on.
        data_centre: Name of its data centre.
        pool: The pool it serves in.
        address: Base URL.
        incarnation: Start time in Unix ms; larger after each restart.
        capacity: Concurrent requests that it supports.
        engine: Whether it is a model engine, which reports load.
    """

    __slots__ = (
        "name",
        "host",
        "data_centre",
        "pool",
        "address",
        "incarnation",
        "capacity",
        "engine",
    )

    def __init__(
        self,
        name: str,
        host: str,
        data_centre: str,
        pool: str,
        address: str,
        incarnation: int,
        capacity: int,
        engine: bool = True,
    ) -> None:
        self.name = name
        self.host = host
        self.data_centre = data_centre
        self.pool = pool
        self.address = address
        self.incarnation = incarnation
        self.capacity = capacity
        self.engine = engine


class HostList(Record):
    """The platform's list of live and leaving hosts, which may lag.

    Attributes:
        entries: Entry hosts listed as live.
        servers: Backend servers listed as live.
        leaving: Names of servers listed as leaving.
    """

    __slots__ = ("entries", "servers", "leaving")

    def __init__(
        self,
        entries: tuple[EntryHost, ...] = (),
        servers: tuple[Server, ...] = (),
        leaving: frozenset[str] = frozenset(),
    ) -> None:
        self.entries = entries
        self.servers = servers
        self.leaving = leaving
