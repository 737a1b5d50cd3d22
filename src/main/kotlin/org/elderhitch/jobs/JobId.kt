package org.elderhitch.jobs

/** The id that a user or a provider gave to a job. */
@JvmInline
public value class JobId(public val text: String) {
    override fun toString(): String = text

    public companion object {
        private const val MAX_LENGTH = 64
        private val FORM = Regex("req-[A-Za-z0-9][A-Za-z0-9._-]*")

        /** Null unless the text has the form of job ids. */
        public fun parse(text: String): JobId? =
            if (text.length <= MAX_LENGTH && FORM.matches(text)) JobId(text) else null
    }
}

/** One task of a job, by its index from 0. Its text is "job/index". */
public data class TaskId(val job: JobId, val index: Int) {
    override fun toString(): String = "${job.text}/$index"

    public companion object {
        /** Null unless the text has the form of [toString]. */
        public fun parse(text: String): TaskId? {
            val job = JobId.parse(text.substringBeforeLast('/', "")) ?: return null
            val index = text.substringAfterLast('/').toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TaskId(job, index)
        }
    }
}
