"""Command-line interface of mulberryloom."""

import sys

import defopt

from .jobs import explain
from .jobs import losses
from .process import commands

_COMMANDS = {
    'serve': commands.serve,
    'settings': {'check': commands.check_settings},
    'ticket': {
        'check': commands.check_ticket,
        'apply': commands.apply_ticket,
        'show': commands.show_ticket,
    },
    'status': commands.show_status,
    'requests': {
        'list': commands.list_requests,
        'cancel': commands.cancel_requests,
    },
    'jobs': {
        'list': commands.list_jobs,
        'show': commands.show_job,
        'cancel': commands.cancel_job,
    },
    'evacuate': commands.evacuate,
    'evacuations': commands.list_evacuations,
    'drain': commands.drain,
    'logs': {'explain': explain.explain, 'losses': losses.show_losses},
    'report': {'burn': commands.report_burn},
}


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its status.

    The status is 0 for success, 1 for a refused or failed command and 2
    for a usage error.

    :param arguments: command-line arguments; by default those of the
        process.
    """
    try:
        status = defopt.run(
            _COMMANDS,
            argv=arguments,
            short={},
            no_negated_flags=True,
            argparse_kwargs={'prog': 'mulberryloom'},
        )
    except commands.UsageError as error:
        print(f'mulberryloom: {error}', file=sys.stderr)
        status = commands.EXIT_USAGE_ERROR
    sys.exit(status)


if __name__ == '__main__':
    main()
