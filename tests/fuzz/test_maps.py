"""All ranks of a group are on one map in every step, under fuzzed faults."""

from hypothesis import HealthCheck, settings

from fuzz.map_machine import MapMachine

TestMaps = MapMachine.TestCase
TestMaps.settings = settings(
    max_examples=40,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
