"""Specification of a section."""

from dataclasses import dataclass

from briarthread_common.conf.option import Option


@dataclass(frozen=True, slots=True)
class SectionSpec:
    """Describe a kind of section and its options."""

    name: str
    help: str
    options: tuple[Option, ...]
