package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.SubmissionFields
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.store.Keys
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Submissions that lack a field that can't be null: they are refused, unless the job was accepted before. */
class IncompleteSubmissionsTest {
    private fun withoutEachField(complete: Map<String, Any?>): Map<String, List<Map<String, Any?>>> =
        (SubmissionFields.REQUIRED - "id").associateWith { listOf(complete - it, complete + (it to null)) }

    /** Repeats the submission without each of its fields at every node, which must return [state]. */
    private suspend fun SimulatedCluster.assertKeepsAnswer(id: String, state: String) {
        for ((field, bodies) in withoutEachField(ClassArchiveTraining.exampleJob(id, "array"))) {
            for (node in names) {
                val (status, answer) = ask("POST", "/work", bodies.first(), node = node)
                assertEquals(200 to state, status to answer["standing"], "$id without $field at $node")
            }
        }
    }

    private suspend fun SimulatedCluster.restartAllNodes() {
        names.forEach(::crash)
        names.forEach(::startNode)
        until("all nodes are ready", 30.seconds) { names.all { call(it, "GET", "/ready", null)?.status == 200 } }
    }

    /** Guards against jobs that run without a constraint because the field that contained it was lost. */
    @Test
    fun `a submission that lacks a field is refused by every node and takes no id`() = runInSimulatedCluster {
        submit("req-1", "array", 1, 1.0)
        val complete = ClassArchiveTraining.exampleJob("req-2", "array")
        for ((field, bodies) in withoutEachField(complete)) {
            for (body in bodies) {
                for (node in names) {
                    val (status, answer) = ask("POST", "/work", body, node = node)
                    assertEquals(400 to "$field: missing", status to answer["error"], "$node got $body")
                }
            }
        }
        delay(15.seconds)
        assertNull(platform.state.value(Keys.job(JobId("req-2"))))
        assertEquals(setOf("req-1/0"), startsOf.keys)
        for (node in names) assertEquals(404, ask("GET", "/work/req-2", node = node).first)
        assertEquals(201, ask("POST", "/work", complete).first)
        until("the complete submission is done", 60.seconds) { jobState("req-2") == "done" }
    }

    @Test
    fun `fields that may be null may be omitted`() = runInSimulatedCluster {
        submit("req-1", "array", 1, 1.0)
        val complete = ClassArchiveTraining.exampleJob("req-2", "array")
        assertTrue(complete.keys.containsAll(SubmissionFields.OPTIONAL))
        assertEquals(201, ask("POST", "/work", complete - SubmissionFields.OPTIONAL.toSet()).first)
        assertEquals(200, ask("POST", "/work", complete).first)
    }

    /** Guards against jobs that are forgotten by the check of fields: an accepted job is never answered with 400. */
    @Test
    fun `a known job keeps its answer when a repeated submission lacks a field`() = runInSimulatedCluster {
        submit("req-1", "array", 1, 1.0)
        submit("req-2", "array", 2, 600.0)
        submit("req-3", "array", 2, 600.0)
        until("the first is done", 60.seconds) { jobState("req-1") == "done" }
        assertEquals("withdrawn", ask("POST", "/work/req-3/withdraw").second["standing"])
        repeat(2) { round ->
            if (round == 1) restartAllNodes()
            until("the second runs", 60.seconds) {
                names.all { ask("GET", "/work/req-2", node = it).second["running"] == 2L }
            }
            assertKeepsAnswer("req-1", "done")
            assertKeepsAnswer("req-2", "running")
            assertKeepsAnswer("req-3", "withdrawn")
        }
        assertNoViolations()
    }

    @Test
    fun `a job that an earlier version recorded without flags runs and keeps its answer`() = runInSimulatedCluster {
        submit("req-1", "array", 1, 1.0)
        val complete = ClassArchiveTraining.exampleJob("req-2", "array").filterValues { it != null }
        val earlierRecord = complete - SubmissionFields.FLAGS.toSet()
        platform.state.overwrite(Keys.job(JobId("req-2")), earlierRecord)
        restartAllNodes()
        assertEquals(200, ask("POST", "/work", earlierRecord).first)
        until("it is done", 60.seconds) { jobState("req-2") == "done" }
        assertKeepsAnswer("req-2", "done")
        assertNoViolations()
    }

    /** Whether the job is known can't be determined then, and a refusal would be final. */
    @Test
    fun `a submission that lacks a field gets a retryable error while the state service is down`() =
        runInSimulatedCluster {
            submit("req-1", "array", 1, 1.0)
            platform.state.down = true
            val incomplete = ClassArchiveTraining.exampleJob("req-2", "array") - "spread"
            for (node in names) assertEquals(503, ask("POST", "/work", incomplete, node = node).first)
        }
}
