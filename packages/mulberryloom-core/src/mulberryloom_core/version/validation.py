"""Checks of a configuration that a JSON schema can't express."""

import math

from . import configuration
from ..process import settings


def check(config: configuration.Configuration) -> list[settings.Problem]:
    """Return all dangling references, shared tokens and invalid numbers."""
    return [
        *_unknown_accounts(config),
        *_shared_tokens(config),
        *_non_finite_targets(config),
    ]


def _unknown_accounts(
    config: configuration.Configuration,
) -> list[settings.Problem]:
    return [
        settings.Problem(
            f'$.services.{service.name}.accounts[{index}]',
            f'an existing client account, got {account!r}',
        )
        for _, service in sorted(config.services_by_name.items())
        for index, account in enumerate(service.accounts)
        if account not in config.accounts_by_name
    ]


def _shared_tokens(
    config: configuration.Configuration,
) -> list[settings.Problem]:
    """Find tokens that would authenticate two accounts or operators."""
    problems = []
    holder_by_token: dict[str, str] = {}
    for kind in ('accounts', 'operators'):
        objects = getattr(config, f'{kind}_by_name')
        for name, item in sorted(objects.items()):
            holder = f'{kind}.{name}'
            first = holder_by_token.setdefault(item.token_sha256, holder)
            if first != holder:
                path = f'$.{holder}.token_sha256'
                expected = f'a token of its own, got that of {first}'
                problems.append(settings.Problem(path, expected))
    return problems


def _non_finite_targets(
    config: configuration.Configuration,
) -> list[settings.Problem]:
    """Find targets that are ``NaN``, which the JSON schema accepts."""
    return [
        settings.Problem(
            f'$.services.{service.name}.objectives.{name}.target_percent',
            f'a finite number, got {objective.target_percent}',
        )
        for _, service in sorted(config.services_by_name.items())
        for name, objective in sorted(service.objectives_by_name.items())
        if not math.isfinite(objective.target_percent)
    ]
