"""Bookings run at most once and "not-run" is reported truthfully under faults."""

from fuzz.booking_machine import BookingMachine
from fuzz.ci_settings import CI_SETTINGS

TestBookings = BookingMachine.TestCase
TestBookings.settings = CI_SETTINGS
