"""Run stand-ins of the outside systems from the command line."""

import signal
import threading
from typing import Annotated, Protocol

import typer

stand_in_app = typer.Typer(
    no_args_is_help=True, help="Stand in for the platform, an engine or a plain service."
)

Address = Annotated[str, typer.Option(help="Address to listen on, IP:PORT; port 0 picks one.")]


class StandIn(Protocol):
    """Describe what the command line needs of a stand-in."""

    @property
    def port(self) -> int:
        """Return the port that the stand-in listens on."""

    def start(self) -> None:
        """Start the listener."""

    def close(self) -> None:
        """Stop the listener."""


def _run(kind: str, address: str, stand_in: StandIn) -> None:
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stand_in.start()
    typer.echo(f"{kind} listens on {address.rpartition(':')[0]}:{stand_in.port}")
    stopped.wait()
    stand_in.close()


@stand_in_app.command("platform")
def run_platform(
    address: Address = "127.0.0.1:0",
    writes: Annotated[float, typer.Option(help="Writes allowed, calls a second.")] = 600.0,
    reads: Annotated[float, typer.Option(help="Reads allowed, calls a second.")] = 2_000.0,
    weight_reads: Annotated[float, typer.Option(help="Weight reads, calls a second.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the lost answers.")] = 0,
) -> None:
    """Stand in for the platform: tables, objects, weights and the list of hosts."""
    from turmericproxy.standins.platform import create_platform

    platform = create_platform(
        address, writes=writes, reads=reads, weight_reads=weight_reads, seed=seed
    )
    _run("platform", address, platform)


@stand_in_app.command("engine")
def run_engine(
    address: Address = "127.0.0.1:0",
    name: Annotated[str, typer.Option(help="Name of the engine.")] = "engine",
    platform: Annotated[
        str | None, typer.Option(help="Address of the platform, for weights and kept KV cache.")
    ] = None,
    model: Annotated[
        list[str] | None, typer.Option(help="Model to serve as MODEL@VERSION; may be repeated.")
    ] = None,
    role: Annotated[str, typer.Option(help="Role that the engine reports.")] = "mixed",
    step_time: Annotated[float, typer.Option(help="Time of one batch step, seconds.")] = 0.01,
    prefill_rate: Annotated[float, typer.Option(help="Prefill, tokens a second.")] = 20_000.0,
    decode_time: Annotated[float, typer.Option(help="Time between tokens, seconds.")] = 0.01,
    slots: Annotated[int, typer.Option(help="Requests batched at a time.")] = 32,
    capacity_blocks: Annotated[int, typer.Option(help="Blocks that the cache holds.")] = 256,
    check_fence: Annotated[bool, typer.Option(help="Refuse orders with an old fence.")] = True,
    load_time: Annotated[float, typer.Option(help="Time to load weights, seconds.")] = 0.33,
    resume_hold: Annotated[
        float, typer.Option(help="How long a request without a connection is held, seconds.")
    ] = 5.0,
    event_lag: Annotated[float, typer.Option(help="Lag of cache events, seconds.")] = 0.05,
    event_loss: Annotated[float, typer.Option(help="Share of cache events lost.")] = 0.0,
    load_lag: Annotated[float, typer.Option(help="Lag of load reports, seconds.")] = 0.1,
    record_bodies: Annotated[bool, typer.Option(help="Keep the bodies of requests.")] = False,
    threads: Annotated[int, typer.Option(help="Connections served at a time.")] = 96,
    seed: Annotated[int, typer.Option(help="Seed of the lost events.")] = 1,
) -> None:
    """Stand in for a model engine that batches continuously and caches prefixes."""
    from turmericproxy.standins.engine import EngineOptions, create_engine

    options = EngineOptions(
        address=address,
        name=name,
        platform=platform,
        models=_parse_models(model or ["verdict@1"]),
        role=role,
        step_time=step_time,
        prefill_rate=prefill_rate,
        decode_time=decode_time,
        slots=slots,
        capacity_blocks=capacity_blocks,
        checks_fence=check_fence,
        load_time=load_time,
        resume_hold=resume_hold,
        event_lag=event_lag,
        event_loss=event_loss,
        load_lag=load_lag,
        record_bodies=record_bodies,
        threads=threads,
        seed=seed,
    )
    _run("engine", address, create_engine(options))


def _parse_models(models: list[str]) -> dict[str, str]:
    pairs = [model.partition("@") for model in models]
    for name, _, version in pairs:
        if not name or not version:
            raise typer.BadParameter("a model is given as MODEL@VERSION")
    return {name: version for name, _, version in pairs}


@stand_in_app.command("service")
def run_service(
    address: Address = "127.0.0.1:0",
    name: Annotated[str, typer.Option(help="Name of the service.")] = "service",
    work_time: Annotated[float, typer.Option(help="Time that a call takes, seconds.")] = 0.002,
    threads: Annotated[int, typer.Option(help="Connections served at a time.")] = 64,
) -> None:
    """Stand in for a plain service that counts the calls that it runs."""
    from turmericproxy.standins.service import ServiceOptions, create_service

    _run("service", address, create_service(ServiceOptions(address, name, work_time, threads)))
