"""All ranks of a group use the same map in every step under faults."""

from fuzz.ci_settings import CI_SETTINGS
from fuzz.map_machine import MapMachine

TestMaps = MapMachine.TestCase
TestMaps.settings = CI_SETTINGS
