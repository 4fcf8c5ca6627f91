"""Loading of a platform adapter by the name of its module."""

import importlib

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.direct.platform_adapter import PlatformAdapter

OPTION = "[direct] adapter"
HINT = "Name an installed module that holds ADAPTER."


def load_adapter(module: str) -> PlatformAdapter:
    """
    Return the ADAPTER of a module; raise ChecksFailed if it cannot be loaded.

    >>> load_adapter("nowhere")
    Traceback (most recent call last):
    ...
    briarthread_common.core.exceptions.ChecksFailed: [direct] adapter: cannot be \
loaded: No module named 'nowhere' (conf.E006). Name an installed module that holds \
ADAPTER.
    """
    try:
        return importlib.import_module(module).ADAPTER
    except (ImportError, AttributeError, TypeError, ValueError) as error:
        fault = CheckMessage("conf.E006", OPTION, f"cannot be loaded: {error}", HINT)
        raise ChecksFailed([fault]) from error
