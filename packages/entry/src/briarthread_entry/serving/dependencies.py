"""The state of what a service depends on."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.text.service import Service
from briarthread_common.text.services_text import ServicesText
from briarthread_entry.routing.router import Router


def check_dependencies(service: Service, text: ServicesText, router: Router) -> None:
    """Raise RequestError naming the first dependency without a target."""
    seen = {service.name}
    open_names = list(service.depends_on)
    while open_names:
        name = open_names.pop()
        if name in seen:
            continue
        seen.add(name)
        needed = text.services[name]
        if not router.has_target(needed):
            raise RequestError(
                ErrorKind.DEPENDENCY_DOWN,
                f"{service.name} refused: {name} has no target",
            )
        open_names.extend(needed.depends_on)
