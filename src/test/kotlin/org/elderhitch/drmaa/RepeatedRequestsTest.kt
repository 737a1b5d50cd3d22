package org.elderhitch.drmaa

import kotlinx.coroutines.delay
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WireClient
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Requests that a client repeats since the answer was lost, when their template would be refused by then. */
internal class RepeatedRequestsTest : DrmaaScenario() {
    private fun SimulatedCluster.templateWithDeadline() =
        mapOf("category" to "long", "deadlineAt" to (wallClock.now() + 20.seconds).ms)

    /** Repeats the request at every node, each of which must name the accepted [job]. */
    private suspend fun SimulatedCluster.assertKeepsAnswer(
        client: WireClient,
        template: Map<String, Any?>,
        request: String,
        job: String,
    ) {
        for (node in names) {
            val fields = mapOf("request" to request, "template" to template)
            val again = client.ask("run", fields, node = node)
            assertEquals(200 to job, again.status to again.body.raw("job"), "$node: ${again.body.raw("error")}")
        }
    }

    /** Guards against a program that submits its job once more, under another number, as it was told of a refusal. */
    @Test
    fun `an accepted request keeps its answer after the deadline of its template`() = withDrmaa { settings ->
        val client = client(settings)
        val template = templateWithDeadline()
        val request = client.request()
        val job = client.run(template, request = request).body.string("job")
        delay(25.seconds)
        assertKeepsAnswer(client, template, request, job)
        names.forEach(::crash)
        names.forEach(::startNode)
        delay(20.seconds)
        assertKeepsAnswer(client, template, request, job)
        assertEquals(200, client.control(job, "TERMINATE").status)
        assertKeepsAnswer(client, template, request, job)
        val late = client.run(template)
        assertEquals(400 to "ConflictingAttributeValuesException", late.status to late.fault)
    }

    @Test
    fun `a held request keeps its answer after the deadline of its template`() = withDrmaa { settings ->
        val client = client(settings)
        val template = templateWithDeadline() + ("hold" to true)
        val request = client.request()
        val job = client.run(template, request = request).body.string("job")
        delay(25.seconds)
        assertKeepsAnswer(client, template, request, job)
        assertEquals("USER_ON_HOLD", client.status(job))
    }

    @Test
    fun `a refusal is given only when the job is known not to be recorded`() = withDrmaa { settings ->
        val client = client(settings)
        val template = templateWithDeadline()
        client.submit(short)
        delay(25.seconds)
        platform.state.down = true
        val fields = mapOf("request" to client.request(), "template" to template)
        assertEquals(503, client.ask("run", fields, patience = 1.seconds).status)
        platform.state.down = false
        assertEquals("ConflictingAttributeValuesException", client.ask("run", fields).fault)
    }
}
