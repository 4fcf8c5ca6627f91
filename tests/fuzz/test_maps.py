"""All ranks of a group are on one map in every step, under fuzzed faults."""

from fuzz.ci_settings import CI_SETTINGS
from fuzz.map_machine import MapMachine

TestMaps = MapMachine.TestCase
TestMaps.settings = CI_SETTINGS
