package org.elderhitch.leadership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.http.Address
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.StateLimits
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.standin.StateStandIn
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LossyTransport
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.StateWatch
import org.elderhitch.store.StateWatchListener
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests claims, renewals and resignations of several nodes against a simulated state service. */
@OptIn(ExperimentalCoroutinesApi::class)
class LeadershipTest {
    private val workers = WorkerTimeouts(1.seconds, 11.seconds, 45.seconds, 5.seconds, 41.seconds)
    private val timeouts = LeadershipTimeouts.of(workers)

    private inner class Node(
        val name: String,
        val scope: CoroutineScope,
        net: LossyTransport,
        clock: SteadyClock,
        random: Random,
    ) {
        private val limits = StateLimits(1000.0, 1000.0, 8192, 8)
        private val client =
            StateClient(
                net,
                Address("state:1"),
                limits,
                RequestRateLimiter(clock, 1000.0),
                RequestRateLimiter(clock, 1000.0),
            )
        private val incarnation = Incarnation(random.nextLong().toString())
        val leadership = Leadership(scope, NodeName(name), incarnation, client, timeouts, clock, random)
        private val stateWatch = StateWatch(
            scope,
            client,
            clock,
            object : StateWatchListener {
                override fun snapshot(entries: List<Entry>, revision: Revision) =
                    leadership.tell(LeadershipMessage.LeaderObserved(entries.firstOrNull { it.key == Keys.LEADER }))

                override fun changed(changes: List<Change>, revision: Revision) {
                    val last = changes.lastOrNull { it.key == Keys.LEADER } ?: return
                    leadership.tell(LeadershipMessage.LeaderObserved((last as? Change.Put)?.entry))
                }

                override fun freshAsOf(since: MonotonicInstant) =
                    leadership.tell(LeadershipMessage.FreshnessConfirmed(since))
            },
        )

        init {
            leadership.start()
            stateWatch.start()
            scope.launch {
                while (true) {
                    stateWatch.checkFreshness()
                    delay(timeouts.renewInterval)
                }
            }
        }
    }

    /** Three nodes that are restarted at random, with a network that loses and delays messages and service outages. */
    private inner class RandomCluster(private val test: TestScope, private val seed: Long) {
        private val random = Random(seed)
        private val clock = SteadyClock { MonotonicInstant(test.currentTime * 1_000_000) }
        private val state = StateStandIn(clock)
        private val net = LossyTransport(test.backgroundScope, random, state)
        private val names = listOf("a", "b", "c")
        private val nodes = HashMap<String, Node>()
        private val termHolders = HashMap<Term, String>()
        private var stepsWithLeader = 0

        private fun startNode(name: String) {
            val context = test.backgroundScope.coroutineContext
            val scope = CoroutineScope(context + SupervisorJob(context[Job]))
            nodes[name] = Node(name, scope, net, clock, random)
        }

        private fun restartRandomNode() {
            val name = names.random(random)
            nodes.remove(name)?.scope?.cancel()
            startNode(name)
        }

        private fun leaderOf(node: Node) = node.leadership.leadershipState.value as? LeadershipState.Leader

        suspend fun run() {
            names.forEach(::startNode)
            repeat(1200) { step ->
                delay(100.milliseconds)
                if (step % 150 == 100) restartRandomNode()
                if (step % 300 == 200) state.down = true
                if (step % 300 == 260) state.down = false
                checkLeaders(step)
            }
            assertTrue(stepsWithLeader > 400, "seed $seed: only $stepsWithLeader of 1200 steps had a leader")
        }

        private fun checkLeaders(step: Int) {
            val now = clock.now()
            val commandingNodes = nodes.values.filter { leaderOf(it)?.maySendCommands(now) == true }
            val commandingNames = commandingNodes.map { it.name }
            assertTrue(commandingNodes.size <= 1, "seed $seed step $step: $commandingNames may all send commands")
            for (node in commandingNodes) {
                stepsWithLeader++
                val term = assertNotNull(leaderOf(node)).term
                val holder = "${node.name}/${System.identityHashCode(node)}"
                assertEquals(holder, termHolders.getOrPut(term) { holder }, "seed $seed: term $term has two holders")
            }
        }
    }

    @Test
    fun `at most one controller may send commands and no term has two holders when messages are lost or delayed`() {
        for (seed in 1L..12L) runTest { RandomCluster(this, seed).run() }
    }

    @Test
    fun `a leader steps down immediately when it sees a higher term`() = runTest {
        val clock = SteadyClock { MonotonicInstant(currentTime * 1_000_000) }
        val net = LossyTransport(backgroundScope, Random(1), StateStandIn(clock)).apply { failureProbability = 0.0 }
        val node = Node("a", backgroundScope, net, clock, Random(2))
        delay(2.seconds)
        val leadership = node.leadership.leadershipState.value as LeadershipState.Leader
        node.leadership.tell(LeadershipMessage.TermObserved(leadership.nextTerm))
        delay(1.milliseconds)
        assertTrue(node.leadership.leadershipState.value is LeadershipState.Follower)
    }

    /** A version without token ranges takes a worker's raised token for the number of a term, and reports it. */
    @Test
    fun `a leader does not step down when one of its own tokens is reported as a term`() = runTest {
        val clock = SteadyClock { MonotonicInstant(currentTime * 1_000_000) }
        val net = LossyTransport(backgroundScope, Random(1), StateStandIn(clock)).apply { failureProbability = 0.0 }
        val node = Node("a", backgroundScope, net, clock, Random(2))
        delay(2.seconds)
        val leadership = node.leadership.leadershipState.value as LeadershipState.Leader
        for (token in listOf(leadership.tokens.first, leadership.tokens.last)) {
            node.leadership.tell(LeadershipMessage.TermObserved(Term(token.number)))
        }
        delay(1.milliseconds)
        assertTrue(node.leadership.leadershipState.value is LeadershipState.Leader)
    }

    @Test
    fun `the answer grace period ends early enough for a cancelled task to end in time`() {
        val maxTaskLifetime = timeouts.commandWindow + timeouts.answerGracePeriod + workers.lease
        assertTrue(maxTaskLifetime < workers.cancel)
        val withoutGracePeriod = LeadershipTimeouts.of(workers.copy(lease = 31.seconds, cancel = 33.seconds))
        assertEquals(0.seconds, withoutGracePeriod.answerGracePeriod)
    }
}
