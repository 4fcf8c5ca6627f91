"""Run the binary as a module."""

from briarthread_agent.main import main

if __name__ == "__main__":
    main()
