package org.elderhitch.store

import org.elderhitch.jobs.JobId

/**
 * The keys of the state service. A node loads everything under [OPEN] at startup. Terminal records are outside that
 * prefix and are neither dropped nor listed, so the cost of a start depends on the number of open jobs and not on the
 * number of jobs that have ended.
 */
public object Keys {
    /** The prefix of all keys. */
    public const val ALL: String = "v/"

    /** The prefix of the keys that each node loads when it starts. */
    public const val OPEN: String = "v/a/"

    /** The counter of leadership terms; each write of a leader is conditional on its version. */
    public const val TERM: String = "v/a/term"

    /** The current leader. */
    public const val LEADER: String = "v/a/leader"

    /** The machine types that the cloud offered most recently. */
    public const val TYPES: String = "v/a/types"

    /** The images that each machine has. */
    public const val IMAGES: String = "v/a/images"
    private const val JOB = "v/a/job/"
    private const val COMPLETED_TASKS = "v/a/fin/"
    private const val PROVISIONING_INTENT = "v/a/hire/"
    private const val HOLD = "v/a/hold/"
    private const val TERMINAL_RECORD = "v/z/end/"

    /** The record of an open job. */
    public fun job(id: JobId): String = JOB + id.text

    /** How a job ended. The first transaction to create this key decides between completion and cancellation. */
    public fun terminalRecord(id: JobId): String = TERMINAL_RECORD + id.text

    /** One block of a job's completed tasks. */
    public fun completedTasks(id: JobId, block: Int): String = "$COMPLETED_TASKS${id.text}/$block"

    /** The prefix of the blocks of completed tasks of all jobs whose ids begin with [idPrefix]. */
    public fun completedTasksPrefix(idPrefix: String): String = COMPLETED_TASKS + idPrefix

    /** A job's hold. */
    public fun hold(id: JobId): String = HOLD + id.text

    /** The write-ahead record of a request for machines. */
    public fun provisioningIntent(name: String): String = PROVISIONING_INTENT + name

    /** The kind and the parts of a key; null for keys that are malformed or belong to a feature. */
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

    private fun parseCompletedTasks(suffix: String): StoredKey.CompletedTasks? {
        val id = JobId.parse(suffix.substringBeforeLast('/'))
        val block = suffix.substringAfterLast('/').toIntOrNull()
        return if (id == null || block == null) null else StoredKey.CompletedTasks(id, block)
    }
}
