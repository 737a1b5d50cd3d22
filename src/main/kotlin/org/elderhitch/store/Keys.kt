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

    public fun terminalRecord(id: JobId): String = END + id.text

    public fun finished(id: JobId, block: Int): String = "$FINISHED${id.text}/$block"

    /** Where the finished blocks stand of jobs whose ids begin so. */
    public fun finishedOf(beginning: String): String = FINISHED + beginning

    public fun hold(id: JobId): String = HOLD + id.text

    public fun provisioningIntent(name: String): String = HIRE + name

    /** What a key holds, for who follows the changes. */
    public fun subject(key: String): StoredKey? = when {
        key == TERM -> StoredKey.Counter

        key == LEADER -> StoredKey.Leader

        key.startsWith(JOB) -> JobId.parse(key.substring(JOB.length))?.let(StoredKey::Job)

        key.startsWith(END) -> JobId.parse(key.substring(END.length))?.let(StoredKey::TerminalRecord)

        key.startsWith(HOLD) -> JobId.parse(key.substring(HOLD.length))?.let(StoredKey::JobHold)

        key.startsWith(HIRE) -> StoredKey.ProvisioningIntent(key.substring(HIRE.length))

        key.startsWith(FINISHED) -> {
            val rest = key.substring(FINISHED.length)
            val id = JobId.parse(rest.substringBeforeLast('/'))
            val block = rest.substringAfterLast('/').toIntOrNull()
            if (id == null || block == null) null else StoredKey.CompletedTasks(id, block)
        }

        else -> null
    }
}

public sealed interface StoredKey {
    public data object Counter : StoredKey
    public data object Leader : StoredKey
    public data class Job(val id: JobId) : StoredKey
    public data class TerminalRecord(val id: JobId) : StoredKey
    public data class JobHold(val id: JobId) : StoredKey
    public data class CompletedTasks(val id: JobId, val block: Int) : StoredKey
    public data class ProvisioningIntent(val name: String) : StoredKey
}
