"""Start of an agent that reads its feeds from an entry."""

from direct_builders import run_in_group_world

from briarthread_standins.direct_agents import GroupWorld


def test_agent_with_a_running_seed_does_not_read_the_store() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.kill_agent(0)
        reads: list[str] = []
        store_app = world.store.app

        async def recording_app(scope: dict, receive: object, send: object) -> None:
            if scope["client"][0] == world.agent_address(0):
                reads.append(scope["path"])
            await store_app(scope, receive, send)

        world.network.listen("10.200.0.1:80", "store", recording_app)
        agent = world.start_agent(0)
        await agent.replicator.started.wait()
        assert all(feed.number for feed in agent.feeds.all())
        assert reads == []

    run_in_group_world(scenario)


def test_agent_without_a_running_seed_reads_the_store() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.kill_agent(0)
        world.world.kill_entry("entry-1")
        agent = world.start_agent(0)
        await agent.replicator.started.wait()
        assert all(feed.number for feed in agent.feeds.all())

    run_in_group_world(scenario)
