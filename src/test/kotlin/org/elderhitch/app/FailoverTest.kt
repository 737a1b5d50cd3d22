package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.WorldSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Changes of leader, outages of the state service, and restarts of all controllers. */
class FailoverTest {
    @Test
    fun `a crashed leader's tasks run on, and none starts twice`() = world {
        submit("req-1", "daemon", 4, 0.0)
        submit("req-2", "array", 10, 25.0)
        until("all run", 60.seconds) { onMachine.size == 14 }
        val leader = assertNotNull(leader())
        crash(leader)
        untilReplaced(leader, 15.seconds)
        until("array done", 90.seconds) { standing("req-2") == "done" }
        assertEquals(4, onMachine.size)
        assertTrue(startsOf.values.all { it == 1 }, "a task was started again: $startsOf")
        assertRulesKept()
    }

    @Test
    fun `all controllers crash and come back within the workers' lease`() = world {
        submit("req-1", "daemon", 4, 0.0)
        until("all run", 60.seconds) { onMachine.size == 4 }
        names.forEach(::crash)
        delay(6.seconds)
        names.forEach(::startNode)
        delay(30.seconds)
        assertEquals(4, onMachine.size)
        assertTrue(startsOf.values.all { it == 1 }, "a task was started again: $startsOf")
        assertRulesKept()
    }

    @Test
    fun `an outage of the state service longer than the lease stops nothing`() = world {
        submit("req-1", "daemon", 4, 0.0)
        submit("req-2", "array", 4, 10.0)
        until("all run", 60.seconds) { onMachine.size == 8 }
        platform.state.down = true
        delay(16.seconds)
        assertEquals(503, ask("GET", "/work/req-2", node = "n1").first)
        platform.state.down = false
        until("array done", 30.seconds) { standing("req-2") == "done" }
        assertTrue(startsOf.values.all { it == 1 }, "a task was started again: $startsOf")
        assertRulesKept()
    }

    @Test
    fun `a leader cut off from everything is replaced, and returns as a follower`() = world {
        submit("req-1", "daemon", 4, 0.0)
        until("all run", 60.seconds) { onMachine.size == 4 }
        val leader = assertNotNull(leader())
        val others = names - leader + listOf("state", "cloud", "workers", "user")
        others.forEach { cuts.add(leader to it) }
        untilReplaced(leader, 15.seconds)
        assertEquals(200, ask("POST", "/work/req-1/withdraw", node = leader()).first)
        until("replicas gone", 41.seconds) { onMachine.isEmpty() }
        cuts.clear()
        delay(10.seconds)
        assertNotEquals(leader, leader())
        assertEquals("withdrawn", ask("GET", "/work/req-1", node = leader).second["standing"])
        assertRulesKept()
    }

    @Test
    fun `a leader that no worker reaches hands the lead over`() = world {
        submit("req-1", "daemon", 36, 0.0, mapOf("cores" to 40.0))
        until("machines up", 60.seconds) { onMachine.size >= 6 }
        delay(10.seconds)
        val leader = assertNotNull(leader())
        cuts.add(leader to "workers")
        untilReplaced(leader, 20.seconds)
        assertRulesKept()
    }

    /**
     * An intent named its machines until the last of them was gone, and each takeover waited for the word of those that
     * had long been returned (seen in both recorded days: the same two machines in five takeovers, two seconds each).
     */
    @Test
    fun `a takeover waits for no machine that was returned before`() = world {
        submit("req-1", "array", 36, 12.0, mapOf("cores" to 40.0, "borrowedRigs" to false))
        submit("req-2", "daemon", 1, 0.0)
        until("machines up", 60.seconds) { onMachine.size >= 6 }
        fun there() = platform.cloud.machines().map { it.id }.toSet()
        fun named() = platform.state.keys().filter { it.startsWith("v/a/hire/") }
            .associateWith { platform.state.value(it)?.stringsOrNull("stalls").orEmpty().toSet() }
        val before = named()
        until("some of an intent's machines returned", 300.seconds) {
            before.values.any {
                (it - there()).isNotEmpty() &&
                    (it intersect there()).isNotEmpty()
            }
        }
        until("intents name what is there", 10.seconds) {
            named().values.flatten().let {
                it.isNotEmpty() &&
                    there().containsAll(it)
            }
        }
        until("array done", 120.seconds) { standing("req-1") == "done" }
        assertEquals(1, onMachine.size)
        assertRulesKept()
    }

    /** Seen: up to 32 idle machines of 145 kept for 60 s after a takeover, as if they had been rented at the claim. */
    @Test
    fun `a takeover doesn't keep idle machines as if it had just rented them`() = world {
        submit("req-1", "array", 36, 40.0, mapOf("cores" to 40.0))
        until("machines up", 60.seconds) { onMachine.size >= 12 }
        val machines = platform.cloud.machines().size
        delay(25.seconds)
        assertEquals(200, ask("POST", "/work/req-1/withdraw").first)
        val leader = assertNotNull(leader())
        crash(leader)
        untilReplaced(leader, 15.seconds)
        until("surplus returned", 40.seconds) { platform.cloud.machines().size < machines / 2 }
    }

    /** It reaches the state service and nobody else: leading on, it would return every machine as silent. */
    @Test
    fun `a node that claims while it is cut off from the workers hands the lead over, and returns nothing`() = world {
        submit("req-1", "daemon", 36, 0.0, mapOf("cores" to 40.0))
        until("machines up", 60.seconds) { onMachine.size >= 6 }
        delay(20.seconds)
        val deaf = names.first { it != leader() }
        cuts.add(deaf to "workers")
        (names - deaf).forEach(::crash)
        until("it leads", 15.seconds) { leader() == deaf }
        (names - deaf).forEach(::startNode)
        val machines = platform.cloud.machines().map { it.id }
        val tasks = onMachine.keys.toSet()
        untilReplaced(deaf, 10.seconds)
        delay(15.seconds)
        assertEquals(machines, platform.cloud.machines().map { it.id })
        assertTrue(onMachine.keys.containsAll(tasks))
        assertRulesKept()
    }

    /**
     * Seen in `lab drmaa --seed 7`: jobs that were withdrawn while the leader was cut off were unknown to the next one,
     * so their tasks counted for
     * nothing until they had been told to stop, and their team used 41 of its 40 accelerators.
     */
    @Test
    fun `tasks of jobs that ended before a takeover count for their team until they are gone`() =
        world(WorldSettings(mostGpus = 9.0, reportS = 3.0)) {
            suspend fun service(id: String, tasks: Int, node: String? = null) = assertEquals(
                201,
                ask(
                    "POST",
                    "/work",
                    ClassArchiveTraining.exampleJob(id, "daemon") + mapOf("crates" to tasks, "cores" to 1.0),
                    node,
                ).first,
            )
            // Eight fill one machine, the ninth keeps another.
            service("req-1", 8)
            until("eight run", 60.seconds) { onMachine.size == 8 }
            service("req-9", 1)
            until("all run", 60.seconds) { onMachine.size == 9 }
            delay(5.seconds)
            val leader = assertNotNull(leader())
            (names - leader + listOf("state", "cloud", "workers", "user")).forEach { cuts.add(leader to it) }
            val other = names.first { it != leader }
            assertEquals(200, ask("POST", "/work/req-1/withdraw", node = other).first)
            service("req-2", 7, other)
            until("the second runs", 120.seconds) { onMachine.keys.count { it.startsWith("req-2/") } == 7 }
            assertEquals(9, mostAtOnce)
            // Nodes that start after a job has ended don't know what it takes.
            cuts.clear()
            delay(5.seconds)
            val now = assertNotNull(leader())
            (names - now + listOf("state", "cloud", "workers", "user")).forEach { cuts.add(now to it) }
            val third = names.first { it != now }
            assertEquals(200, ask("POST", "/work/req-2/withdraw", node = third).first)
            service("req-3", 7, third)
            names.forEach(::crash)
            cuts.clear()
            names.forEach(::startNode)
            until("the third runs", 120.seconds) { onMachine.keys.count { it.startsWith("req-3/") } == 7 }
            assertEquals(9, mostAtOnce)
        }
}
