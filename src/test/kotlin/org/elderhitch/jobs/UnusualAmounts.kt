package org.elderhitch.jobs

import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.json.Json

/** Jobs with amounts that users may submit although no task needs them: 0, far below any useful share, and huge. */
internal object UnusualAmounts {
    val amounts = listOf(0.0, 1e-300, 1e-15, 1e-9, 1e-6, 1e-3, 0.1, 1.0, 48.0, 1e6, 1e15)
    val taskCounts = listOf(1, 7, 1_000, JobCodec.MAX_TASKS)
    private val fields = listOf("cores", "accelerators", "memGb", "pullGb", "haulS", "tallyS", "stowS", "closingS")
    private val requestFields = fields.take(3)

    /** Each field alone with each amount, and all fields of a request together, and all fields together. */
    val fieldValues: List<Map<String, Any?>> = amounts.flatMap { amount ->
        fields.map { mapOf(it to amount) } +
            listOf(requestFields.associateWith { amount }, fields.associateWith { amount })
    }

    /** The job as a controller reads it from a submission or from its stored record. */
    fun job(id: String, kind: String, tasks: Int, values: Map<String, Any?>): JobSpec = JobCodec.decodeSubmission(
        Json.parseObject(Json.bytes(ClassArchiveTraining.exampleJob(id, kind) + ("crates" to tasks) + values)),
    )

    /** A job of each kind with each count of tasks and each of [fieldValues]. */
    fun jobs(): Sequence<JobSpec> = sequence {
        for (values in fieldValues) {
            for (kind in listOf("daemon", "array", "gang")) {
                for (tasks in taskCounts) yield(job("req-7", kind, tasks, values + ("urgency" to "production")))
            }
        }
    }
}
