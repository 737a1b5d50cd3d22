package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.json.Json
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Reports about jobs that reach a node in any order from its own writes, other controllers and the state service. */
class JobRegistryTest {
    private fun spec(id: String): JobSpec =
        JobCodec.decodeSubmission(Json.parseObject(Json.bytes(ClassArchiveTraining.exampleJob(id, "array"))))

    private fun entry(key: String, value: Map<String, Any?>, version: Long) =
        Entry(key, Json.parseObject(Json.bytes(value)), Revision(version))

    private fun recorded(id: String, version: Long) =
        Change.Put(entry(Keys.job(JobId(id)), JobCodec.encode(spec(id)), version))

    private val cancelled = TerminalRecord(TerminalState.CANCELLED, 0)

    private fun ended(id: String, version: Long): List<Change> = listOf(
        Change.Put(entry(Keys.terminalRecord(JobId(id)), cancelled.encode(), version)),
        Change.Drop(Keys.job(JobId(id)), Revision(version)),
    )

    private suspend fun JobRegistry.known(id: String): JobLookup {
        val reply = CompletableDeferred<JobLookup>()
        tell(JobMessage.Lookup(JobId(id), reply))
        return reply.await()
    }

    /**
     * Guards against reopening a job whose end was missed. The response to a node's own submission arrives after the
     * watch was reloaded at a later revision, before which the job was recorded and ended. The registry then opened the
     * job; it was shown as queued and started, since its end was never reported again.
     */
    @Test
    fun `the registry ignores a submission of this node when a reload has passed its revision`() = runTest {
        val events = ArrayList<JobEvent>()
        val jobRegistry = JobRegistry(backgroundScope, events::add).apply { start() }
        jobRegistry.tell(JobMessage.Snapshot(emptyList(), Revision(100)))
        // The job was recorded at 101 and cancelled at 102, and the service has compacted these changes since.
        jobRegistry.tell(JobMessage.Snapshot(emptyList(), Revision(20_000)))
        jobRegistry.tell(JobMessage.Recorded(spec("req-1"), Revision(101)))
        assertIs<JobLookup.Unknown>(jobRegistry.known("req-1"))
        assertEquals(emptyList(), events.toList())
    }

    /** A message that doesn't come from the watch. [position] is the number of messages of the watch before it. */
    private class OwnMessage(val position: Int, val message: JobMessage)

    /** A random history of the job req-1, and the messages that report it in a random order. */
    private inner class RandomHistory(seed: Long) {
        private val random = Random(seed)
        val ends = random.nextInt(4) > 0
        private val recordedAt = 10L
        private val endedAt = recordedAt + random.nextLong(1, 20)
        private val lastRevision = endedAt + random.nextLong(0, 20)
        private val changes =
            listOf<Change>(recorded("req-1", recordedAt)) + if (ends) ended("req-1", endedAt) else emptyList()
        val watched: List<JobMessage> = watchMessages()
        val own: List<OwnMessage> = ownMessages()

        /** Changes in order, sometimes replaced by a snapshot of everything that exists at a later revision. */
        private fun watchMessages(): List<JobMessage> {
            val messages = ArrayList<JobMessage>()
            var reported = random.nextLong(0, 9)
            messages.add(JobMessage.Snapshot(emptyList(), Revision(reported)))
            while (reported < lastRevision) {
                val next = random.nextLong(reported + 1, lastRevision + 1)
                messages.add(if (random.nextInt(4) == 0) snapshotAt(next) else changesBetween(reported, next))
                reported = next
            }
            return messages
        }

        private fun snapshotAt(revision: Long): JobMessage {
            val isOpen = revision >= recordedAt && !(ends && revision >= endedAt)
            val entries = if (isOpen) listOf((changes[0] as Change.Put).entry) else emptyList()
            return JobMessage.Snapshot(entries, Revision(revision))
        }

        private fun changesBetween(after: Long, upTo: Long): JobMessage = JobMessage.Changed(
            changes.filter { it.version.number in after + 1..upTo } + Change.Drop("v/a/other", Revision(upTo)),
        )

        /** They arrive at any time after the writes, whatever revision the watch has reached by then. */
        private fun ownMessages(): List<OwnMessage> {
            val messages = ArrayList<OwnMessage>()
            val submission = JobMessage.Recorded(spec("req-1"), Revision(recordedAt))
            messages.add(OwnMessage(anyPosition(), submission))
            if (ends && random.nextBoolean()) {
                messages.add(OwnMessage(anyPosition(), JobMessage.TerminalStateReceived(JobId("req-1"), cancelled)))
            }
            return messages
        }

        private fun anyPosition() = random.nextInt(1, watched.size + 1)
    }

    /** Replays a history to a new registry and returns the number of own messages after the last one of the watch. */
    private suspend fun TestScope.replay(seed: Long): Int {
        val history = RandomHistory(seed)
        val events = ArrayList<JobEvent>()
        val jobRegistry = JobRegistry(backgroundScope, events::add).apply { start() }
        var hasEnded = false
        history.watched.forEachIndexed { position, message ->
            history.own.filter { it.position == position }.forEach { jobRegistry.tell(it.message) }
            jobRegistry.tell(message)
            val known = jobRegistry.known("req-1")
            if (hasEnded) assertTrue(known !is JobLookup.Open, "seed $seed: the job is open again")
            hasEnded = hasEnded || known is JobLookup.Ended
        }
        val last = history.own.filter { it.position == history.watched.size }
        last.forEach { jobRegistry.tell(it.message) }
        if (history.ends) {
            assertTrue(jobRegistry.known("req-1") !is JobLookup.Open, "seed $seed: the job has ended but is open")
        } else {
            assertIs<JobLookup.Open>(jobRegistry.known("req-1"), "seed $seed: the job must be open")
        }
        val kinds = events.filter { it is JobEvent.Opened || it is JobEvent.Ended }.map { it is JobEvent.Opened }
        assertTrue(
            kinds.zipWithNext().none { (a, b) -> a == b } && kinds.count { it } <= 1,
            "seed $seed: the job must open and end at most once: $kinds",
        )
        return last.size
    }

    /**
     * Messages about one job arrive in random order between reloads. Once its end was reported, the job is never open
     * again, and its end is not reported before it has ended.
     */
    @Test
    fun `the registry never reopens an ended job, whatever the order of messages of all nodes, changes and reloads`() =
        runTest {
            val late = (1L..3000L).sumOf { replay(it) }
            assertTrue(late > 500, "too few own messages came last: $late")
        }
}
