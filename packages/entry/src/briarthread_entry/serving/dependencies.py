"""Check of the services on which a service depends."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.text.service import Service
from briarthread_common.text.services_text import ServicesText
from briarthread_entry.routing.router import Router


def check_dependencies(service: Service, text: ServicesText, router: Router) -> None:
    """Raise RequestError naming the first dependency without a target."""
    seen = {service.name}
    pending = list(service.depends_on)
    while pending:
        name = pending.pop()
        if name in seen:
            continue
        seen.add(name)
        dependency = text.services[name]
        if not router.has_target(dependency):
            raise RequestError(
                ErrorKind.DEPENDENCY_DOWN,
                f"{service.name} is unavailable: dependency {name} has no target",
            )
        pending.extend(dependency.depends_on)
