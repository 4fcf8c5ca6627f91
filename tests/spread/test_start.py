"""A starting agent takes what it needs from an entry."""

from direct_builders import in_group_world

from briarthread_standins.direct_agents import GroupWorld


def test_agent_that_starts_beside_a_running_entry_reads_nothing_from_the_store() -> (
    None
):
    async def scenario(world: GroupWorld) -> None:
        world.kill_agent(0)
        reads: list[str] = []
        serve = world.store.app

        async def counted(scope: dict, receive: object, send: object) -> None:
            if scope["client"][0] == world.agent_address(0):
                reads.append(scope["path"])
            await serve(scope, receive, send)

        world.network.listen("10.200.0.1:80", "store", counted)
        agent = world.start_agent(0)
        await agent.spreader.started.wait()
        assert all(feed.number for feed in agent.feeds.all())
        assert reads == []

    in_group_world(scenario)


def test_agent_whose_seeds_are_gone_reads_the_store() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.kill_agent(0)
        world.world.kill_entry("entry-1")
        agent = world.start_agent(0)
        await agent.spreader.started.wait()
        assert all(feed.number for feed in agent.feeds.all())

    in_group_world(scenario)
