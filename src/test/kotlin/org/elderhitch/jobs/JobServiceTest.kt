package org.elderhitch.jobs

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.http.Handler
import org.elderhitch.json.Json
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.standin.StateStandIn
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LeaseId
import org.elderhitch.store.LossyTransport
import org.elderhitch.store.Revision
import org.elderhitch.store.StateWatch
import org.elderhitch.store.StateWatchListener
import org.elderhitch.store.TestStateClient
import org.elderhitch.store.Write
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class JobServiceTest {
    private class Node(test: TestScope, net: LossyTransport, clock: SteadyClock) {
        private val limits = TestStateClient.LIMITS
        private val client = TestStateClient.of(net, clock)
        val opened = HashMap<JobId, Revision>()
        private val jobRegistry = JobRegistry(test.backgroundScope) {
            if (it is JobEvent.Opened) opened[it.spec.id] = it.version
        }
        private val stateWatch = StateWatch(
            test.backgroundScope,
            client,
            clock,
            object : StateWatchListener {
                override fun snapshot(entries: List<Entry>, revision: Revision) =
                    jobRegistry.tell(JobMessage.Snapshot(entries, revision))

                override fun changed(changes: List<Change>, revision: Revision) =
                    jobRegistry.tell(JobMessage.Changed(changes))
            },
        )
        private val team = TeamName("team")
        val jobService =
            JobService(
                jobRegistry,
                stateWatch,
                client,
                SubmissionPolicy(mapOf(team to Team(team, 0.0, 0.0, null, null)), { true }, limits.valueBytes),
                { WallTime(0) },
            )
        val completionWriter = CompletionWriter(client, jobRegistry, limits.txnOps)

        init {
            jobRegistry.start()
            stateWatch.start()
        }

        /** Records, as the leader, that both tasks of the job are completed. */
        suspend fun complete(leadership: LeadershipState.Leader, id: JobId, version: Revision) {
            val all = CompletedTasks(2).apply {
                add(0)
                add(1)
            }
            completionWriter.record(leadership, listOf(CompletionBatch(id, version, all, listOf(0, 1), ACCOUNT)))
        }
    }

    /**
     * Guards against a terminal record without a usage account: a batch is created while one task of the job is
     * missing, and that task completes before the batch is recorded.
     */
    @Test
    fun `a job ends with the next batch when its last task completes while a batch is being recorded`() = runTest {
        val clock = SteadyClock { MonotonicInstant(currentTime * 1_000_000) }
        val completionWriter = Node(
            this,
            LossyTransport(backgroundScope, Random(1), StateStandIn(clock)),
            clock,
        ).completionWriter
        val completed = CompletedTasks(2).apply { add(0) }
        val firstBatch = CompletionBatch(JobId("req-1"), Revision(3), completed, listOf(0))
        completed.add(1)
        assertEquals(listOf(null), completionWriter.writesOf(firstBatch).map { it.terminalRecord })
        // The first batch must not contain the last task either: a leader that reads this has nothing left to record,
        // and the job stays open forever.
        assertEquals(
            listOf(mapOf("f" to "0")),
            completionWriter.writesOf(firstBatch).flatMap { it.writes }.map { (it as Write.Put).value },
        )
        val secondBatch = CompletionBatch(JobId("req-1"), Revision(3), completed, listOf(1), ACCOUNT)
        assertEquals(ACCOUNT, completionWriter.writesOf(secondBatch).single().terminalRecord?.account)
        coroutineContext.cancelChildren()
    }

    /** The last answer that users got about each job; no answer may contradict one from before its request. */
    private class AnswerHistory(private val seed: Long) {
        val last = HashMap<JobId, String>()

        /** Checks and adds an answer. [before] is the last answer at the time of the request. */
        fun add(id: JobId, before: String?, answer: JobResponse) {
            val phase = when (answer) {
                is JobResponse.Accepted -> answer.status.phase.wireName
                is JobResponse.State -> answer.status.phase.wireName
                JobResponse.Unknown -> "unknown"
                else -> return
            }
            if (before in TERMINAL) assertEquals(before, phase, "seed $seed: $id left its terminal state")
            if (before != null) assertTrue(phase != "unknown", "seed $seed: $id became unknown")
            if (phase != "unknown" && last[id] !in TERMINAL) last[id] = phase
        }
    }

    /** Three nodes on a lossy network, and users who send random requests to any of them. */
    private class Users(private val test: TestScope, seed: Long) {
        private val random = Random(seed)
        private val clock = SteadyClock { MonotonicInstant(test.currentTime * 1_000_000) }
        private val state = StateStandIn(clock)
        private val net = LossyTransport(test.backgroundScope, random, state).apply { failureProbability = 0.0 }
        private val nodes = List(3) { Node(test, net, clock) }
        private val ids = List(12) { JobId("req-$it") }
        val answers = AnswerHistory(seed)

        suspend fun sendRandomRequests() {
            delay(1.seconds)
            val leadership = leadership()
            net.failureProbability = 0.2
            val users = List(10) { user ->
                test.launch {
                    repeat(25) {
                        sendRandomRequest(leadership, choices = if (user == 0) 5 else 4)
                        delay(random.nextLong(400).milliseconds)
                    }
                }
            }
            users.forEach { it.join() }
            net.failureProbability = 0.0
            delay(30.seconds)
        }

        /** The term counter is never written here, so its version is that of an absent key. */
        private fun leadership() = LeadershipState.Leader(
            Term(1),
            Revision.ABSENT,
            LeaseId(1),
            MonotonicInstant.FOREVER,
            MonotonicInstant.FOREVER,
            null,
            clock.now(),
        )

        private suspend fun sendRandomRequest(leadership: LeadershipState.Leader, choices: Int) {
            val id = ids.random(random)
            val node = nodes.random(random)
            val before = answers.last[id]
            when (random.nextInt(choices)) {
                0 -> answers.add(id, before, node.jobService.submit(exampleJob(id)))
                1, 2 -> answers.add(id, before, node.jobService.show(id))
                3 -> if (random.nextInt(3) == 0) answers.add(id, before, node.jobService.cancel(id))
                else -> node.opened[id]?.let { node.complete(leadership, id, it) }
            }
        }

        /** Checks that every node confirms the earlier answers, and that no job is both open and ended. */
        suspend fun checkAllNodes() {
            for ((id, phase) in answers.last) {
                for (node in nodes) answers.add(id, phase, node.jobService.show(id))
                assertTrue(
                    state.value(Keys.job(id)) == null || state.value(Keys.terminalRecord(id)) == null,
                    "$id is both open and ended",
                )
            }
        }
    }

    /** Once a user got a terminal state as the answer, every node gives every user that answer from then on. */
    @Test
    fun `a job keeps its terminal state and no answer is outdated under concurrent requests and message loss`() {
        val phaseCounts = HashMap<String, Int>()
        for (seed in 1L..8L) {
            runTest {
                val users = Users(this, seed)
                users.sendRandomRequests()
                users.checkAllNodes()
                users.answers.last.values.forEach { phaseCounts.merge(it, 1, Int::plus) }
            }
        }
        assertTrue(phaseCounts.keys.containsAll(TERMINAL), "not all terminal states occurred: $phaseCounts")
    }

    /**
     * Guards against exhausting the rate limit of the state service: users may send eight times the usual number of
     * requests, including many for jobs that nobody submitted.
     */
    @Test
    fun `an unknown job is read from the store only once until it is submitted`() = runTest {
        val clock = SteadyClock { MonotonicInstant(currentTime * 1_000_000) }
        val state = StateStandIn(clock)
        var reads = 0
        val countingHandler = Handler { request ->
            if (request.path.startsWith("/store/v/z/end/")) reads++
            state.handle(request)
        }
        val net = LossyTransport(backgroundScope, Random(1), countingHandler).apply { failureProbability = 0.0 }
        val nodes = List(2) { Node(this, net, clock) }
        delay(1.seconds)
        val id = JobId("req-7")
        repeat(50) { assertEquals(JobResponse.Unknown, nodes[0].jobService.show(id)) }
        assertEquals(1, reads)
        assertTrue(
            nodes[1].jobService.submit(exampleJob(id)) is JobResponse.Accepted,
        )
        assertEquals("queued", (nodes[0].jobService.show(id) as JobResponse.State).status.phase.wireName)
        assertEquals("withdrawn", (nodes[1].jobService.cancel(id) as JobResponse.State).status.phase.wireName)
        assertEquals("withdrawn", (nodes[0].jobService.show(id) as JobResponse.State).status.phase.wireName)
    }

    private companion object {
        val TERMINAL = setOf("done", "withdrawn")
        val ACCOUNT = JobAccount(TeamName("team"), "class", 2, 0, 10.0, 0.0, null, WallTime(5), isLowerBound = false)

        fun exampleJob(id: JobId): ByteArray = Json.bytes(ClassArchiveTraining.exampleJob(id.text, "array"))
    }
}
