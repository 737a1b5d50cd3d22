package org.elderhitch.store

import org.elderhitch.jobs.JobId

/**
 * The names in the state service. What a starting node must know stands under [OPEN]; endings stand beside it, are
 * never dropped and never listed, so a start costs what is open and not what ever was.
 */
public object Keys {
    public const val ALL: String = "v/"
    public const val OPEN: String = "v/a/"
    public const val TERM: String = "v/a/term"
    public const val LEADER: String = "v/a/leader"
    public const val TYPES: String = "v/a/types"
    public const val IMAGES: String = "v/a/images"
    private const val JOB = "v/a/job/"
    private const val FINISHED = "v/a/fin/"
    private const val HIRE = "v/a/hire/"
    private const val HOLD = "v/a/hold/"
    private const val END = "v/z/end/"

    public fun job(id: JobId): String = JOB + id.text

    public fun end(id: JobId): String = END + id.text

    public fun finished(id: JobId, block: Int): String = "$FINISHED${id.text}/$block"

    /** Where the finished blocks stand of jobs whose ids begin so. */
    public fun finishedOf(beginning: String): String = FINISHED + beginning

    public fun hold(id: JobId): String = HOLD + id.text

    public fun hire(name: String): String = HIRE + name

    /** What a key holds, for who follows the changes. */
    public fun subject(key: String): Subject? = when {
        key == TERM -> Subject.Counter

        key == LEADER -> Subject.Leader

        key.startsWith(JOB) -> JobId.parse(key.substring(JOB.length))?.let(Subject::Job)

        key.startsWith(END) -> JobId.parse(key.substring(END.length))?.let(Subject::End)

        key.startsWith(HOLD) -> JobId.parse(key.substring(HOLD.length))?.let(Subject::Hold)

        key.startsWith(HIRE) -> Subject.Hire(key.substring(HIRE.length))

        key.startsWith(FINISHED) -> {
            val rest = key.substring(FINISHED.length)
            val id = JobId.parse(rest.substringBeforeLast('/'))
            val block = rest.substringAfterLast('/').toIntOrNull()
            if (id == null || block == null) null else Subject.Finished(id, block)
        }

        else -> null
    }
}

public sealed interface Subject {
    public data object Counter : Subject
    public data object Leader : Subject
    public data class Job(val id: JobId) : Subject
    public data class End(val id: JobId) : Subject
    public data class Hold(val id: JobId) : Subject
    public data class Finished(val id: JobId, val block: Int) : Subject
    public data class Hire(val name: String) : Subject
}
