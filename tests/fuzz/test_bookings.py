"""Bookings run at most once and "not run" is true, under fuzzed faults."""

from hypothesis import HealthCheck, settings

from fuzz.booking_machine import BookingMachine

TestBookings = BookingMachine.TestCase
TestBookings.settings = settings(
    max_examples=40,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
