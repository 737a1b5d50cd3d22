package org.elderhitch.jobs

/** The id of a job, chosen by the user who submits it or by a [JobProvider]. */
@JvmInline
public value class JobId(public val text: String) {
    override fun toString(): String = text

    public companion object {
        private const val MAX_LENGTH = 64
        private val PATTERN = Regex("req-[A-Za-z0-9][A-Za-z0-9._-]*")

        /** The job id that [text] contains; null if it is not a valid job id. */
        public fun parse(text: String): JobId? =
            if (text.length <= MAX_LENGTH && PATTERN.matches(text)) JobId(text) else null
    }
}

/** Identifies one task of a job by its zero-based index. The text form is "job/index". */
public data class TaskId(val job: JobId, val index: Int) {
    override fun toString(): String = "${job.text}/$index"

    public companion object {
        /** The inverse of [toString]; null if [text] does not have that form. */
        public fun parse(text: String): TaskId? {
            val job = JobId.parse(text.substringBeforeLast('/', "")) ?: return null
            val index = text.substringAfterLast('/').toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TaskId(job, index)
        }
    }
}
