package org.elderhitch.store

import org.elderhitch.jobs.JobId

/**
 * The key space of the state service. What a starting node must load stands under [OPEN]; terminal records stand
 * outside it, are never dropped and never listed, so a start costs what is open and not what ever was.
 */
public object Keys {
    /** The prefix of all keys. */
    public const val ALL: String = "v/"

    /** The prefix of the keys that each node loads when it starts. */
    public const val OPEN: String = "v/a/"

    /** The counter of leadership terms; its version is a condition of each write of a leader. */
    public const val TERM: String = "v/a/term"

    /** The current leader. */
    public const val LEADER: String = "v/a/leader"

    /** The machine types that the cloud offered last. */
    public const val TYPES: String = "v/a/types"

    /** Which machines have which images. */
    public const val IMAGES: String = "v/a/images"
    private const val JOB = "v/a/job/"
    private const val COMPLETED_TASKS = "v/a/fin/"
    private const val PROVISIONING_INTENT = "v/a/hire/"
    private const val HOLD = "v/a/hold/"
    private const val TERMINAL_RECORD = "v/z/end/"

    /** The record of an open job. */
    public fun job(id: JobId): String = JOB + id.text

    /** How a job ended; also the key whose creation decides between completion and cancellation. */
    public fun terminalRecord(id: JobId): String = TERMINAL_RECORD + id.text

    /** One block of a job's completed tasks. */
    public fun completedTasks(id: JobId, block: Int): String = "$COMPLETED_TASKS${id.text}/$block"

    /** The prefix of the blocks of completed tasks of all jobs whose ids begin with [idPrefix]. */
    public fun completedTasksPrefix(idPrefix: String): String = COMPLETED_TASKS + idPrefix

    /** A job's hold. */
    public fun hold(id: JobId): String = HOLD + id.text

    /** The write-ahead record of a request for machines. */
    public fun provisioningIntent(name: String): String = PROVISIONING_INTENT + name

    /** What the key stands for; null for keys that are malformed or belong to a feature. */
    public fun parse(key: String): StoredKey? = when {
        key == TERM -> StoredKey.TermCounter

        key == LEADER -> StoredKey.Leader

        key.startsWith(JOB) -> JobId.parse(key.substring(JOB.length))?.let(StoredKey::Job)

        key.startsWith(TERMINAL_RECORD) ->
            JobId.parse(key.substring(TERMINAL_RECORD.length))?.let(StoredKey::TerminalRecord)

        key.startsWith(HOLD) -> JobId.parse(key.substring(HOLD.length))?.let(StoredKey::JobHold)

        key.startsWith(PROVISIONING_INTENT) -> StoredKey.ProvisioningIntent(key.substring(PROVISIONING_INTENT.length))

        key.startsWith(COMPLETED_TASKS) -> parseCompletedTasks(key.substring(COMPLETED_TASKS.length))

        else -> null
    }

    private fun parseCompletedTasks(rest: String): StoredKey.CompletedTasks? {
        val id = JobId.parse(rest.substringBeforeLast('/'))
        val block = rest.substringAfterLast('/').toIntOrNull()
        return if (id == null || block == null) null else StoredKey.CompletedTasks(id, block)
    }
}
