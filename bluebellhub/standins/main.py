"""Command that runs one stand-in: a platform, an engine or a service."""

import argparse
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from bluebellhub.adapters.http_server import serve_app
from bluebellhub.registry import Registry, make_registry
from bluebellhub.standins.engine_model import make_engine
from bluebellhub.standins.engine_records import EngineProfile
from bluebellhub.standins.engine_server import (
    make_engine_app,
    make_engine_server,
    run_steps,
)
from bluebellhub.standins.platform_model import make_platform_model
from bluebellhub.standins.platform_server import make_platform_app
from bluebellhub.standins.service_server import make_service_app

__all__ = ['main', 'standins']

StandinRunner = Callable[[argparse.Namespace], Awaitable[None]]

standins: Registry[StandinRunner] = make_registry('stand-in')


@standins.register('platform')
async def run_platform(args: argparse.Namespace) -> None:
    """Serve the object API and the VM list."""
    await serve_app(make_platform_app(make_platform_model()), args.listen)


@standins.register('engine')
async def run_engine(args: argparse.Namespace) -> None:
    """Serve a model engine."""
    profile = EngineProfile(
        name=args.name,
        prefill_tokens_per_s=args.prefill_tokens_per_s,
        step_base_s=args.step_s,
        version=args.version,
        cold_s=args.cold_s,
    )
    engine = make_engine(profile, trio.current_time(), warm=args.warm)
    server = make_engine_server(engine)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_steps, server)
        await serve_app(make_engine_app(server), args.listen)
        nursery.cancel_scope.cancel()


@standins.register('service')
async def run_service(args: argparse.Namespace) -> None:
    """Serve the booking service."""
    await serve_app(make_service_app(Counter()), args.listen)


def make_parser() -> argparse.ArgumentParser:
    """Create the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=standins.names())
    parser.add_argument('--listen', required=True, help='IP number and port')
    parser.add_argument('--name', default='engine')
    parser.add_argument('--version', default='1')
    parser.add_argument('--prefill-tokens-per-s', type=float, default=8000.0)
    parser.add_argument('--step-s', type=float, default=0.02)
    parser.add_argument('--cold-s', type=float, default=10.0)
    parser.add_argument('--warm', action='store_true')
    return parser


def main() -> None:
    """Run the stand-in given on the command line until it is stopped."""
    args = make_parser().parse_args()
    trio.run(standins.find(args.kind), args)


if __name__ == '__main__':
    main()
