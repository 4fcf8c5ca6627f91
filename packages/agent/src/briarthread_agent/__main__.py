"""Entry point of ``python -m briarthread_agent``."""

from briarthread_agent.main import main

if __name__ == "__main__":
    main()
