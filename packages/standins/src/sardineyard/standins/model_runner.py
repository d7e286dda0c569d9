"""Stand-in for a model runner: concurrent requests, priorities and a prefix cache."""

from __future__ import annotations

import asyncio
import itertools
import os
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash

from sardineyard.runner.model import CompletionBody
from sardineyard.standins.app import App, parser, send_json, serve_until_stopped

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

_SSE = {"content-type": "text/event-stream"}
# A prompt that contains this text makes the runner exit, as a crash does.
CRASH_MARKER = "CRASH-THE-RUNNER"
_PREFIX_CHARACTERS = 64


def token_at(prompt: str, index: int) -> str:
    """Return the token at an index of the completion of a prompt.

    The completion depends on the prompt only, so a test can check all of its tokens,
    and a resumed stream continues with the same text.
    """
    return f"{xxhash.xxh32_intdigest(f'{prompt}:{index}'.encode()) % 1000:03d} "


@dataclass(slots=True)
class RunnerConfig:
    """Speed and capacity of a model runner; the control route changes them."""

    slots: int = 32
    token_interval_s: float = 0.02
    prefill_s: float = 0.02
    # Requests that wait for a slot are served in this order of priority.
    priorities: tuple[str, ...] = ("urgent", "pressing", "batch")
    cache_prefixes: int = 64
    load_lag_s: float = 1.0


@dataclass(slots=True)
class RunnerState:
    """Counters of a model runner, as the state route returns them."""

    running: int = 0
    waiting: int = 0
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    tokens: int = 0
    prefix_hits: int = 0
    seen: list[str] = field(default_factory=list)


class ModelRunnerApp:
    """Model runner whose completions depend on the prompt only."""

    def __init__(self, address: Address, config: RunnerConfig) -> None:
        self.config = config
        self.state = RunnerState()
        self.app = App(
            address,
            {
                ("POST", "/v1/completions"): self._complete,
                ("GET", "/state"): self._state,
                ("GET", "/load"): self._load,
                ("POST", "/control"): self._control,
            },
        )
        self._queue: asyncio.PriorityQueue[tuple[int, int, asyncio.Future[None]]] = (
            asyncio.PriorityQueue()
        )
        self._sequence = itertools.count()
        self._prefixes: dict[int, None] = {}
        self._reported = RunnerState()

    async def _complete(self, request: HttpRequest, exchange: Exchange) -> None:
        body = msgspec.json.decode(request.body, type=CompletionBody)
        self.state.seen.append(body.request_id)
        if CRASH_MARKER in body.prompt:
            os._exit(70)
        await self._acquire_slot(body.priority)
        self.state.started += 1
        try:
            await self._generate(body, exchange)
            self.state.finished += 1
        except (asyncio.CancelledError, ConnectionError):
            self.state.cancelled += 1
            raise
        finally:
            self._release_slot()

    async def _generate(self, body: CompletionBody, exchange: Exchange) -> None:
        await exchange.start(200, _SSE)
        await asyncio.sleep(self._prefill_time(body.prompt))
        index = len(body.resume_tokens)
        while index < body.max_tokens:
            await asyncio.sleep(self.config.token_interval_s)
            event = {"index": index, "tokens": [token_at(body.prompt, index)]}
            await exchange.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
            self.state.tokens += 1
            index += 1
        end_event = {"index": index, "finish": "length"}
        await exchange.write(b"data: " + msgspec.json.encode(end_event) + b"\n\n")
        await exchange.finish()

    def _prefill_time(self, prompt: str) -> float:
        prefix = xxhash.xxh32_intdigest(prompt[:_PREFIX_CHARACTERS].encode())
        if prefix in self._prefixes:
            self._prefixes[prefix] = self._prefixes.pop(prefix)
            self.state.prefix_hits += 1
            return self.config.prefill_s / 10
        self._prefixes[prefix] = None
        if len(self._prefixes) > self.config.cache_prefixes:
            del self._prefixes[next(iter(self._prefixes))]
        return self.config.prefill_s

    async def _acquire_slot(self, priority: str) -> None:
        if self.state.running < self.config.slots:
            self.state.running += 1
            return
        slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        order = self.config.priorities
        priority_index = order.index(priority) if priority in order else len(order)
        self._queue.put_nowait((priority_index, next(self._sequence), slot_granted))
        self.state.waiting += 1
        try:
            await slot_granted
        except asyncio.CancelledError:
            if slot_granted.done() and not slot_granted.cancelled():
                self._release_slot()
            raise
        finally:
            self.state.waiting -= 1

    def _release_slot(self) -> None:
        while not self._queue.empty():
            _, _, slot_granted = self._queue.get_nowait()
            if not slot_granted.done():
                slot_granted.set_result(None)
                return
        self.state.running -= 1

    async def _state(self, request: HttpRequest, exchange: Exchange) -> None:
        await send_json(exchange, self.state)

    async def _load(self, request: HttpRequest, exchange: Exchange) -> None:
        """Send the load as of the end of the last reporting interval."""
        await send_json(
            exchange,
            {"running": self._reported.running, "waiting": self._reported.waiting},
        )

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        """Change fields of the configuration while running."""
        for name, value in msgspec.json.decode(request.body).items():
            setattr(self.config, name, value)
        await send_json(exchange, self.config)

    async def report_load(self) -> None:
        """Update the reported load every `load_lag_s` seconds."""
        while True:
            await asyncio.sleep(self.config.load_lag_s)
            self._reported = RunnerState(
                running=self.state.running, waiting=self.state.waiting
            )


async def _main(address: Address, config: RunnerConfig) -> None:
    runner = ModelRunnerApp(address, config)
    report = asyncio.get_running_loop().create_task(runner.report_load())
    await serve_until_stopped(runner.app)
    report.cancel()


def main() -> None:
    """Run a model runner until it is stopped."""
    options = parser(__doc__ or "")
    options.add_argument("--slots", type=int, default=32)
    options.add_argument("--token-interval-s", type=float, default=0.02)
    options.add_argument("--prefill-s", type=float, default=0.02)
    values = options.parse_args()
    config = RunnerConfig(
        slots=values.slots,
        token_interval_s=values.token_interval_s,
        prefill_s=values.prefill_s,
    )
    asyncio.run(_main(values.address, config))


if __name__ == "__main__":
    main()
