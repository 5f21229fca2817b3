"""Commands that run stand-ins for external systems."""

import signal
import threading
from typing import Annotated, Protocol

import typer

stand_in_app = typer.Typer(
    no_args_is_help=True, help="Run a stand-in for the platform, an engine or a plain service."
)

Address = Annotated[
    str, typer.Option(help="Address to listen on, IP:PORT; port 0 selects a free port.")
]


class StandIn(Protocol):
    """Server that stands in for an external system."""

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
    writes: Annotated[float, typer.Option(help="Limit of writes, calls per second.")] = 600.0,
    reads: Annotated[float, typer.Option(help="Limit of reads, calls per second.")] = 2_000.0,
    weight_reads: Annotated[
        float, typer.Option(help="Limit of weight reads, calls per second.")
    ] = 20.0,
    seed: Annotated[int, typer.Option(help="Random seed for the lost answers.")] = 0,
) -> None:
    """Run a stand-in for the platform: tables, objects, weights and the list of hosts."""
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
    step_time: Annotated[float, typer.Option(help="Duration of one batch step, seconds.")] = 0.01,
    prefill_rate: Annotated[
        float, typer.Option(help="Prefill rate, tokens per second.")
    ] = 20_000.0,
    decode_time: Annotated[float, typer.Option(help="Time between tokens, seconds.")] = 0.01,
    slots: Annotated[int, typer.Option(help="Maximum requests in a batch.")] = 32,
    capacity_blocks: Annotated[int, typer.Option(help="Capacity of the cache, blocks.")] = 256,
    check_fence: Annotated[bool, typer.Option(help="Reject orders with an outdated fence.")] = True,
    load_time: Annotated[float, typer.Option(help="Time to load weights, seconds.")] = 0.33,
    resume_hold: Annotated[
        float, typer.Option(help="Time to keep a request after its connection is lost, seconds.")
    ] = 5.0,
    event_lag: Annotated[float, typer.Option(help="Delay of cache events, seconds.")] = 0.05,
    event_loss: Annotated[
        float, typer.Option(help="Fraction of cache events that are lost.")
    ] = 0.0,
    load_lag: Annotated[float, typer.Option(help="Delay of load reports, seconds.")] = 0.1,
    record_bodies: Annotated[bool, typer.Option(help="Record the bodies of requests.")] = False,
    threads: Annotated[int, typer.Option(help="Maximum requests handled concurrently.")] = 96,
    seed: Annotated[int, typer.Option(help="Random seed for the lost events.")] = 1,
) -> None:
    """Run a stand-in for a model engine with continuous batching and a prefix cache."""
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
            raise typer.BadParameter("a model must be given as MODEL@VERSION")
    return {name: version for name, _, version in pairs}


@stand_in_app.command("service")
def run_service(
    address: Address = "127.0.0.1:0",
    name: Annotated[str, typer.Option(help="Name of the service.")] = "service",
    work_time: Annotated[float, typer.Option(help="Duration of a call, seconds.")] = 0.002,
    threads: Annotated[int, typer.Option(help="Maximum requests handled concurrently.")] = 64,
) -> None:
    """Run a stand-in for a plain service that counts its calls."""
    from turmericproxy.standins.service import ServiceOptions, create_service

    _run("service", address, create_service(ServiceOptions(address, name, work_time, threads)))
