package org.elderhitch.tasks

import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** How long the task table retains the specifications of jobs that have ended. */
class EndedJobRetentionTest {
    /**
     * Regression: the retention was fixed at 120 s, although the time to cancel is configurable. If that was longer, a
     * task that was found late counted as a whole machine towards the quota.
     */
    @Test
    fun `the table retains an ended job for as long as its tasks may be on a machine`() {
        var now = MonotonicInstant(0) + 100.seconds
        val timeouts = WorkerTimeouts(5.seconds, 31.seconds, 30.seconds, 4.seconds, cancel = 240.seconds)
        val table = TaskTable(SteadyClock { now }, timeouts.taskRetention)
        fun open(id: String) = table.open(
            JobEvent.Opened(
                JobCodec.decodeSubmission(Json.parseObject(Json.bytes(ClassArchiveTraining.exampleJob(id, "array")))),
                Revision(7),
            ),
        )
        table.markTerminal(open("req-1"))
        now += timeouts.cancel + timeouts.lease
        table.markTerminal(open("req-2"))
        assertNotNull(table.recentlyEnded(JobId("req-1")))
        now += timeouts.lease + 1.seconds
        table.markTerminal(open("req-3"))
        assertNull(table.recentlyEnded(JobId("req-1")), "kept beyond its retention")
        assertNotNull(table.recentlyEnded(JobId("req-2")))
    }
}
