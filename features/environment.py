"""Behave hooks: end the processes and threads of a scenario."""


def before_scenario(context, scenario):
    context.trial = None


def after_scenario(context, scenario):
    if context.trial is not None:
        context.trial.end()
