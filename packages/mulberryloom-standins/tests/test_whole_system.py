"""Whole-system fuzzing with fixed examples; ``make fuzz`` runs more."""

import os

import hypothesis
from hypothesis import stateful
from mulberryloom_standins.fuzz import machine

EXAMPLES_VARIABLE = 'MULBERRYLOOM_FUZZ_EXAMPLES'
CI_EXAMPLES = 25
STEPS = 40


def test_whole_system_keeps_invariants_under_faults():
    examples = int(os.environ.get(EXAMPLES_VARIABLE, CI_EXAMPLES))
    stateful.run_state_machine_as_test(
        machine.WholeSystem,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=STEPS,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
