"""Stand-in for a group of ranks: one HTTP port for each runner of the group."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.core.address import parse_address
from sardineyard.experts.maps import ExpertMap
from sardineyard.experts.orders import Abort, Commit, Prepare, Read
from sardineyard.standins.app import App, parser, send_json
from sardineyard.standins.rank_group import RankGroup

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.experts.orders import Order
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest


class RunnerApp:
    """HTTP interface of one runner: orders, reports, test record and controls."""

    def __init__(self, address: Address, group: RankGroup, runner: int) -> None:
        self._group = group
        self._runner = runner
        kinds = ("read", "prepare", "commit", "abort")
        self.app = App(
            address,
            {
                ("GET", "/ranks"): self._report,
                **{("POST", f"/ranks/{kind}"): self._order for kind in kinds},
                ("GET", "/record"): self._record,
                ("POST", "/control"): self._control,
            },
        )

    async def _report(self, request: HttpRequest, exchange: Exchange) -> None:
        await send_json(exchange, self._group.report(self._runner))

    async def _order(self, request: HttpRequest, exchange: Exchange) -> None:
        kind = request.path.rpartition("/")[2]
        order = _decode_order(kind, msgspec.json.decode(request.body))
        await self._group.wait_until_unblocked(self._runner, order)
        refusal = self._group.order(self._runner, order)
        report = self._group.report(self._runner)
        value = {**report, "refusal": refusal.value if refusal else None}
        await send_json(exchange, value)

    async def _record(self, request: HttpRequest, exchange: Exchange) -> None:
        group = self._group
        last = int(request.query.get("last", "0"))
        await send_json(
            exchange,
            {
                "steps": len(group.steps),
                "two_maps": group.mixed_map_steps,
                "maps": list(dict.fromkeys(names[0] for names in group.steps)),
                "ranks": group.steps[-1] if group.steps else [],
                "skews": group.skews[-last:],
                "orders": group.orders[-1000:],
            },
        )

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        change = msgspec.json.decode(request.body)
        if "restart" in change:
            self._group.restart(change.pop("restart"))
        self._group.change(change)
        await send_json(exchange, self._group.options)


def _decode_order(kind: str, body: dict[str, Any]) -> Order:
    if kind == "prepare":
        body["map"] = _decode_map(body["map"])
        body["base"] = body["base"] and _decode_map(body["base"])
    types = {"read": Read, "prepare": Prepare, "commit": Commit, "abort": Abort}
    order: Order = types[kind](**body)
    return order


def _decode_map(body: dict[str, Any]) -> ExpertMap:
    return ExpertMap(body["version"], tuple(tuple(rank) for rank in body["ranks"]))


async def serve(apps: list[App], group: RankGroup) -> None:
    """Print the ports as the first line and serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    for app in apps:
        await app.start()
    print(*(app.port for app in apps), flush=True)
    steps = loop.create_task(group.run())
    steps.add_done_callback(lambda _: stop.set())
    await stop.wait()
    steps.cancel()
    for app in apps:
        await app.close()


async def _main(values: Any) -> None:
    group = RankGroup(
        len(values.addresses),
        values.ranks_each,
        values.experts,
        values.exponent,
        values.seed,
    )
    apps = [
        RunnerApp(address, group, index).app
        for index, address in enumerate(values.addresses)
    ]
    await serve(apps, group)


def main() -> None:
    """Run a group of ranks until it is stopped."""
    options = parser(__doc__ or "")
    options.add_argument("--addresses", type=parse_address, nargs="+")
    options.add_argument("--ranks-each", type=int, default=1)
    options.add_argument("--experts", type=int, default=64)
    options.add_argument("--exponent", type=float, default=1.0)
    options.add_argument("--seed", type=int, default=1)
    asyncio.run(_main(options.parse_args()))


if __name__ == "__main__":
    main()
